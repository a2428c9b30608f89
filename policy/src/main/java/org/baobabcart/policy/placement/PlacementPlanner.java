package org.baobabcart.policy.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** A plan in the making. Not thread-safe; made for one use. */
final class PlacementPlanner {
    private final PlacementState book;
    private final DesiredPlacements wanted;
    private final List<EngineListing> engines;
    private final PlacementSettings settings;
    private final long nowNanos;
    private final Set<String> models;
    private final Set<String> doubted;
    private final List<EngineListing> free = new ArrayList<>();
    private final Map<ModelVersion, Integer> certain = new HashMap<>();
    private final List<PlacementPlan.Move> moves = new ArrayList<>();
    private final List<Shortfall> shortfalls = new ArrayList<>();

    PlacementPlanner(
            PlacementState book,
            DesiredPlacements wanted,
            List<EngineListing> engines,
            PlacementSettings settings,
            long nowNanos) {
        this.book = book;
        this.wanted = wanted;
        this.engines = engines;
        this.settings = settings;
        this.nowNanos = nowNanos;
        this.models = wanted.models();
        this.doubted = book.doubted();
        for (EngineListing engine : engines) {
            if (!book.inFlight().containsKey(engine.name())) {
                free.add(engine);
                certain.merge(engine.serves(), isInDoubt(engine) ? 0 : 1, Integer::sum);
            }
        }
    }

    /** Finds engines for a version. */
    void fill(ModelVersion target) {
        if (wanted.withdrawn().contains(target)) {
            report(target, wanted.engines().get(target), Shortfall.Reason.WITHDRAWN);
            return;
        }
        int missing = (int) Math.max(0, wanted.count(target) - book.present(target, engines));
        Optional<Shortfall.Reason> obstacle = missing > 0 ? obstacle(target) : Optional.empty();
        while (missing > 0 && obstacle.isEmpty()) {
            obstacle = move(target);
            missing -= obstacle.isEmpty() ? 1 : 0;
        }
        int left = missing;
        obstacle.ifPresent(reason -> report(target, left, reason));
    }

    PlacementPlan plan() {
        return new PlacementPlan(moves, shortfalls);
    }

    private Optional<Shortfall.Reason> obstacle(ModelVersion target) {
        long since = book.missingSinceNanos().getOrDefault(target, nowNanos);
        if (nowNanos - since < settings.settleTime().toNanos()) {
            return Optional.of(Shortfall.Reason.SETTLING);
        }
        if (book.failures(target).pauses(nowNanos, settings)) {
            return Optional.of(Shortfall.Reason.LOADS_FAILED);
        }
        return Optional.empty();
    }

    /** Moves one engine to the target, or says why none can be moved. */
    private Optional<Shortfall.Reason> move(ModelVersion target) {
        if (book.inFlight().size() + moves.size() >= settings.maximumLoads()) {
            return Optional.of(Shortfall.Reason.LOADS_LIMITED);
        }
        if (book.failures(target).count() > 0 && isBeingTried(target)) {
            return Optional.of(Shortfall.Reason.LOADS_FAILED);
        }
        Optional<EngineListing> engine =
                free.stream().filter(this::isSpare).filter(this::isReplaced).min(preference(target));
        if (engine.isEmpty()) {
            boolean spare = free.stream().anyMatch(this::isSpare);
            return Optional.of(spare ? Shortfall.Reason.LAST_OF_ITS_VERSION : Shortfall.Reason.NO_SPARE_ENGINE);
        }
        take(engine.get());
        moves.add(new PlacementPlan.Move(engine.get().name(), target));
        return Optional.empty();
    }

    /** A version that has failed is tried on one engine at a time until it has been loaded. */
    private boolean isBeingTried(ModelVersion target) {
        boolean loading = book.inFlight().values().stream()
                .anyMatch(entry -> entry.order().target().equals(target));
        boolean moved = moves.stream().anyMatch(move -> move.target().equals(target));
        return loading || moved;
    }

    /** Whether its version has enough engines without it. */
    private boolean isSpare(EngineListing engine) {
        return models.contains(engine.serves().model()) && others(engine) >= wanted.count(engine.serves());
    }

    /** Whether callers of its version are served without it. */
    private boolean isReplaced(EngineListing engine) {
        ModelVersion serves = engine.serves();
        return wanted.withdrawn().contains(serves)
                || others(engine) > 0
                || !wanted.wantsModel(serves.model())
                || isOtherVersionServed(serves);
    }

    private boolean isOtherVersionServed(ModelVersion version) {
        return certain.entrySet().stream()
                .filter(entry -> entry.getValue() > 0)
                .map(Map.Entry::getKey)
                .anyMatch(other ->
                        other.model().equals(version.model()) && !other.equals(version) && wanted.count(other) > 0);
    }

    /** Other engines of its version that have no order and are not in doubt. */
    private int others(EngineListing engine) {
        return certain.getOrDefault(engine.serves(), 0) - (isInDoubt(engine) ? 0 : 1);
    }

    private boolean isInDoubt(EngineListing engine) {
        return doubted.contains(engine.name());
    }

    private void take(EngineListing engine) {
        free.remove(engine);
        if (!isInDoubt(engine)) {
            certain.merge(engine.serves(), -1, Integer::sum);
        }
    }

    private Comparator<EngineListing> preference(ModelVersion target) {
        return Comparator.comparing((EngineListing engine) ->
                        book.failures(target).engines().contains(engine.name()))
                .thenComparing(this::isInDoubt)
                .thenComparing(engine -> !wanted.withdrawn().contains(engine.serves()))
                .thenComparing(EngineListing::name);
    }

    private void report(ModelVersion target, int missing, Shortfall.Reason reason) {
        if (missing > 0) {
            shortfalls.add(new Shortfall(target, missing, reason));
        }
    }
}
