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

/** Engines that load, crash and lose orders, a list that shows them late, and one holder after the other. */
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
    private final Deque<List<EngineListing>> shown = new ArrayDeque<>();
    private DesiredPlacements wanted = new DesiredPlacements(Map.of(), Set.of());
    private PlacementState book = PlacementState.empty();
    private PlacementPlan plan = PlacementPlan.empty();
    private long second;
    private int ordersToLose;
    private int moves;
    private int nextOrder;
    final List<String> faults = new ArrayList<>();

    PlacementSimulation(List<Integer> served) {
        for (int index = 0; index < ENGINES; index++) {
            Engine engine = new Engine();
            engine.serves = VERSIONS.get(served.get(index));
            engines.put("engine-" + index, engine);
        }
        wantEngines(List.of(1, 1, 1));
    }

    void run(Step step) {
        switch (step.action()) {
            case LOSE_NEXT_ORDERS -> ordersToLose = step.number() % 3;
            case CRASH_LOADING -> crash(step.number());
            case CHANGE_HOLDER -> book = PlacementState.takenOver(book.orders(), book.failures(), nanos());
            case CHANGE_SHEET -> wantEngines(List.of(step.number() % 3, step.number() / 3 % 3, step.number() / 9 % 3));
            case WITHDRAW ->
                wanted = new DesiredPlacements(wanted.engines(), Set.of(VERSIONS.get(step.number() % VERSIONS.size())));
            default -> pass(step.number());
        }
        pass(1);
    }

    void pass(int seconds) {
        for (int index = 0; index < seconds; index++) {
            second++;
            engines.values().forEach(this::finishLoad);
            show();
            act();
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

    /** Engines that are missing by what the engines truly serve or load. */
    int missing() {
        int missing = 0;
        for (ModelVersion version : VERSIONS) {
            long present = engines.values().stream()
                    .filter(engine -> engine.loading.orElse(engine.serves).equals(version))
                    .count();
            missing += (int) Math.max(0, wanted.count(version) - present);
        }
        return missing;
    }

    private void wantEngines(List<Integer> counts) {
        Map<ModelVersion, Integer> all = new LinkedHashMap<>();
        for (int index = 0; index < VERSIONS.size(); index++) {
            all.put(VERSIONS.get(index), counts.get(index));
        }
        wanted = new DesiredPlacements(all, wanted.withdrawn());
    }

    private void act() {
        List<EngineListing> listed = shown.peekFirst();
        book = policy.observe(book, wanted, listed, nanos());
        plan = policy.plan(book, wanted, listed, nanos());
        for (PlacementPlan.Move move : plan.moves()) {
            LoadOrder order = new LoadOrder("order-" + nextOrder++, move.engine(), move.target());
            book = book.with(order, nanos());
            moves++;
            deliver(order);
        }
        if (book.inFlight().size() > SETTINGS.maximumLoads()) {
            faults.add("too many loads: " + book.inFlight());
        }
    }

    private void deliver(LoadOrder order) {
        if (wanted.withdrawn().contains(order.target())) {
            faults.add("withdrawn: " + order);
        }
        if (ordersToLose > 0) {
            ordersToLose--;
            return;
        }
        Engine engine = engines.get(order.engine());
        if (!isReplaced(engine)) {
            faults.add("the last of " + engine.serves + " was taken by " + order);
        }
        engine.loading = Optional.of(order.target());
        engine.loadedAtSecond = second + LOAD_SECONDS;
    }

    private boolean isReplaced(Engine leaving) {
        ModelVersion serves = leaving.serves;
        boolean modelWanted = VERSIONS.stream()
                .anyMatch(version -> version.model().equals(serves.model()) && wanted.count(version) > 0);
        return wanted.withdrawn().contains(serves)
                || !modelWanted
                || engines.values().stream()
                        .filter(engine -> engine != leaving && engine.loading.isEmpty())
                        .anyMatch(engine -> engine.serves.equals(serves)
                                || engine.serves.model().equals(serves.model()) && wanted.count(engine.serves) > 0);
    }

    private void crash(int number) {
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

    private void show() {
        List<EngineListing> now = new ArrayList<>();
        engines.forEach((name, engine) -> now.add(new EngineListing(name, engine.serves)));
        shown.addLast(now);
        if (shown.size() > LIST_LAG_SECONDS) {
            shown.removeFirst();
        }
    }

    private long nanos() {
        return Duration.ofSeconds(second).toNanos();
    }
}
