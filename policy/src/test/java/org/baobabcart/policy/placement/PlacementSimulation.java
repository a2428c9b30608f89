package org.baobabcart.policy.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Simulates engines that load, crash and lose orders, a VM list that reports them late, and a placement controller that
 * is taken over by new lease holders.
 */
final class PlacementSimulation {
    static final int ENGINES = 5;
    static final List<ModelVersion> VERSIONS =
            List.of(ModelVersion.of("a", "v1"), ModelVersion.of("a", "v2"), ModelVersion.of("b", "v1"));
    static final PlacementSettings SETTINGS = new PlacementSettings(
            2, Duration.ofSeconds(3), Duration.ofSeconds(60), Duration.ofSeconds(5), Duration.ofSeconds(40));
    private static final int LIST_LAG_SECONDS = 4;
    private static final long LOAD_SECONDS = 8;

    enum Action {
        WAIT,
        LOSE_NEXT_ORDERS,
        CRASH_LOADING,
        CHANGE_HOLDER,
        CHANGE_SHEET,
        WITHDRAW
    }

    record Step(Action action, int number) {}

    private static final class Engine {
        private ModelVersion serves;
        private Optional<ModelVersion> loading = Optional.empty();
        private long loadedAtSecond;
    }

    private final PlacementPolicy policy = PlacementPolicy.of(SETTINGS);
    private final Map<String, Engine> engines = new TreeMap<>();
    private final Deque<List<EngineListing>> listHistory = new ArrayDeque<>();
    private DesiredPlacements desired = new DesiredPlacements(Map.of(), Set.of());
    private PlacementState state = PlacementState.empty();
    private PlacementPlan plan = PlacementPlan.empty();
    private long second;
    private int ordersToLose;
    private int moves;
    private int nextOrder;
    final List<String> violations = new ArrayList<>();

    PlacementSimulation(List<Integer> served) {
        for (int index = 0; index < ENGINES; index++) {
            Engine engine = new Engine();
            engine.serves = VERSIONS.get(served.get(index));
            engines.put("engine-" + index, engine);
        }
        setDesiredEngines(List.of(1, 1, 1));
    }

    void run(Step step) {
        switch (step.action()) {
            case LOSE_NEXT_ORDERS -> ordersToLose = step.number() % 3;
            case CRASH_LOADING -> crashLoading(step.number());
            case CHANGE_HOLDER -> state = PlacementState.takenOver(state.orders(), state.failures(), nanos());
            case CHANGE_SHEET ->
                setDesiredEngines(List.of(step.number() % 3, step.number() / 3 % 3, step.number() / 9 % 3));
            case WITHDRAW ->
                desired =
                        new DesiredPlacements(desired.engines(), Set.of(VERSIONS.get(step.number() % VERSIONS.size())));
            default -> advance(step.number());
        }
        advance(1);
    }

    void advance(int seconds) {
        for (int index = 0; index < seconds; index++) {
            second++;
            engines.values().forEach(this::finishLoad);
            recordList();
            reconcile();
        }
    }

    void endFaults() {
        ordersToLose = 0;
    }

    int moves() {
        return moves;
    }

    PlacementPlan plan() {
        return plan;
    }

    /** Returns the number of missing engines, by what the engines actually serve or load. */
    int missing() {
        int missing = 0;
        for (ModelVersion version : VERSIONS) {
            long present = engines.values().stream()
                    .filter(engine -> engine.loading.orElse(engine.serves).equals(version))
                    .count();
            missing += (int) Math.max(0, desired.count(version) - present);
        }
        return missing;
    }

    private void setDesiredEngines(List<Integer> counts) {
        Map<ModelVersion, Integer> all = new LinkedHashMap<>();
        for (int index = 0; index < VERSIONS.size(); index++) {
            all.put(VERSIONS.get(index), counts.get(index));
        }
        desired = new DesiredPlacements(all, desired.withdrawn());
    }

    private void reconcile() {
        List<EngineListing> listed = listHistory.peekFirst();
        state = policy.observe(state, desired, listed, nanos());
        plan = policy.plan(state, desired, listed, nanos());
        for (PlacementPlan.Move move : plan.moves()) {
            LoadOrder order = new LoadOrder("order-" + nextOrder++, move.engine(), move.target());
            state = state.with(order, nanos());
            moves++;
            deliver(order);
        }
        if (state.inFlight().size() > SETTINGS.maximumLoads()) {
            violations.add("too many loads: " + state.inFlight());
        }
    }

    private void deliver(LoadOrder order) {
        if (desired.withdrawn().contains(order.target())) {
            violations.add("withdrawn: " + order);
        }
        if (ordersToLose > 0) {
            ordersToLose--;
            return;
        }
        Engine engine = engines.get(order.engine());
        if (!isReplaceable(engine)) {
            violations.add("the last of " + engine.serves + " was taken by " + order);
        }
        engine.loading = Optional.of(order.target());
        engine.loadedAtSecond = second + LOAD_SECONDS;
    }

    private boolean isReplaceable(Engine leaving) {
        ModelVersion serves = leaving.serves;
        boolean modelWanted = VERSIONS.stream()
                .anyMatch(version -> version.model().equals(serves.model()) && desired.count(version) > 0);
        return desired.withdrawn().contains(serves)
                || !modelWanted
                || engines.values().stream()
                        .filter(engine -> engine != leaving && engine.loading.isEmpty())
                        .anyMatch(engine -> engine.serves.equals(serves)
                                || engine.serves.model().equals(serves.model()) && desired.count(engine.serves) > 0);
    }

    private void crashLoading(int number) {
        List<Engine> loading = engines.values().stream()
                .filter(engine -> engine.loading.isPresent())
                .toList();
        if (!loading.isEmpty()) {
            loading.get(number % loading.size()).loading = Optional.empty();
        }
    }

    private void finishLoad(Engine engine) {
        if (engine.loading.isPresent() && second >= engine.loadedAtSecond) {
            engine.serves = engine.loading.get();
            engine.loading = Optional.empty();
        }
    }

    private void recordList() {
        List<EngineListing> now = new ArrayList<>();
        engines.forEach((name, engine) -> now.add(new EngineListing(name, engine.serves)));
        listHistory.addLast(now);
        if (listHistory.size() > LIST_LAG_SECONDS) {
            listHistory.removeFirst();
        }
    }

    private long nanos() {
        return Duration.ofSeconds(second).toNanos();
    }
}
