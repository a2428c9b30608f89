package org.baobabcart.policy.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Computes a placement plan. For a single use, not thread-safe. */
final class PlacementPlanner {
    private final PlacementState state;
    private final DesiredPlacements desired;
    private final List<EngineListing> engines;
    private final PlacementSettings settings;
    private final long nowNanos;
    private final Set<String> models;
    private final Set<String> enginesInDoubt;
    private final List<EngineListing> free = new ArrayList<>();
    private final Map<ModelVersion, Integer> confirmedCounts = new HashMap<>();
    private final List<PlacementPlan.Move> moves = new ArrayList<>();
    private final List<Shortfall> shortfalls = new ArrayList<>();

    PlacementPlanner(
            PlacementState state,
            DesiredPlacements desired,
            List<EngineListing> engines,
            PlacementSettings settings,
            long nowNanos) {
        this.state = state;
        this.desired = desired;
        this.engines = engines;
        this.settings = settings;
        this.nowNanos = nowNanos;
        this.models = desired.models();
        this.enginesInDoubt = state.enginesInDoubt();
        for (EngineListing engine : engines) {
            if (!state.inFlight().containsKey(engine.name())) {
                free.add(engine);
                confirmedCounts.merge(engine.serves(), isInDoubt(engine) ? 0 : 1, Integer::sum);
            }
        }
    }

    /** Plans moves until enough engines serve or load a version, or records why that is impossible now. */
    void fill(ModelVersion target) {
        if (desired.withdrawn().contains(target)) {
            report(target, desired.engines().get(target), Shortfall.Reason.WITHDRAWN);
            return;
        }
        int missing = (int) Math.max(0, desired.count(target) - state.countServingOrLoading(target, engines));
        Optional<Shortfall.Reason> obstacle = missing > 0 ? obstacle(target) : Optional.empty();
        while (missing > 0 && obstacle.isEmpty()) {
            obstacle = moveEngine(target);
            missing -= obstacle.isEmpty() ? 1 : 0;
        }
        int left = missing;
        obstacle.ifPresent(reason -> report(target, left, reason));
    }

    PlacementPlan plan() {
        return new PlacementPlan(moves, shortfalls);
    }

    private Optional<Shortfall.Reason> obstacle(ModelVersion target) {
        long since = state.missingSinceNanos().getOrDefault(target, nowNanos);
        if (nowNanos - since < settings.settleTime().toNanos()) {
            return Optional.of(Shortfall.Reason.SETTLING);
        }
        if (state.failures(target).isBackingOff(nowNanos, settings)) {
            return Optional.of(Shortfall.Reason.LOADS_FAILED);
        }
        return Optional.empty();
    }

    /** Plans to move one engine to the target, or returns the reason why none can be moved. */
    private Optional<Shortfall.Reason> moveEngine(ModelVersion target) {
        if (state.inFlight().size() + moves.size() >= settings.maximumLoads()) {
            return Optional.of(Shortfall.Reason.LOADS_LIMITED);
        }
        if (state.failures(target).count() > 0 && isBeingTried(target)) {
            return Optional.of(Shortfall.Reason.LOADS_FAILED);
        }
        Optional<EngineListing> engine =
                free.stream().filter(this::isSpare).filter(this::isReplaceable).min(preference(target));
        if (engine.isEmpty()) {
            boolean spare = free.stream().anyMatch(this::isSpare);
            return Optional.of(spare ? Shortfall.Reason.LAST_OF_ITS_VERSION : Shortfall.Reason.NO_SPARE_ENGINE);
        }
        removeFree(engine.get());
        moves.add(new PlacementPlan.Move(engine.get().name(), target));
        return Optional.empty();
    }

    /**
     * Returns whether a load of the version is in flight or planned; after a failure only one engine at a time may
     * try.
     */
    private boolean isBeingTried(ModelVersion target) {
        boolean loading = state.inFlight().values().stream()
                .anyMatch(entry -> entry.order().target().equals(target));
        boolean moved = moves.stream().anyMatch(move -> move.target().equals(target));
        return loading || moved;
    }

    /** Returns whether the engine's version has enough engines without it. */
    private boolean isSpare(EngineListing engine) {
        return models.contains(engine.serves().model()) && countOthers(engine) >= desired.count(engine.serves());
    }

    /**
     * Returns whether the engine may stop serving its version: the version is withdrawn, its model is no longer
     * desired, or another engine or another desired version of the model serves its callers.
     */
    private boolean isReplaceable(EngineListing engine) {
        ModelVersion serves = engine.serves();
        return desired.withdrawn().contains(serves)
                || countOthers(engine) > 0
                || !desired.isModelDesired(serves.model())
                || isOtherVersionServed(serves);
    }

    private boolean isOtherVersionServed(ModelVersion version) {
        return confirmedCounts.entrySet().stream()
                .filter(entry -> entry.getValue() > 0)
                .map(Map.Entry::getKey)
                .anyMatch(other ->
                        other.model().equals(version.model()) && !other.equals(version) && desired.count(other) > 0);
    }

    /** Returns the number of other engines that serve its version, have no order in flight and are not in doubt. */
    private int countOthers(EngineListing engine) {
        return confirmedCounts.getOrDefault(engine.serves(), 0) - (isInDoubt(engine) ? 0 : 1);
    }

    private boolean isInDoubt(EngineListing engine) {
        return enginesInDoubt.contains(engine.name());
    }

    private void removeFree(EngineListing engine) {
        free.remove(engine);
        if (!isInDoubt(engine)) {
            confirmedCounts.merge(engine.serves(), -1, Integer::sum);
        }
    }

    private Comparator<EngineListing> preference(ModelVersion target) {
        return Comparator.comparing((EngineListing engine) ->
                        state.failures(target).engines().contains(engine.name()))
                .thenComparing(this::isInDoubt)
                .thenComparing(engine -> !desired.withdrawn().contains(engine.serves()))
                .thenComparing(EngineListing::name);
    }

    private void report(ModelVersion target, int missing, Shortfall.Reason reason) {
        if (missing > 0) {
            shortfalls.add(new Shortfall(target, missing, reason));
        }
    }
}
