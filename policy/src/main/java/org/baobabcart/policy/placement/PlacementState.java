package org.baobabcart.policy.placement;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * State of the placement reconciliation of a data centre: orders in flight, failed loads and versions that lack
 * engines. Immutable.
 *
 * @param inFlight orders in flight by engine name
 * @param failures failed loads by version
 * @param missingSinceNanos for each version that too few engines serve or load, the monotonic time since when that is
 *     so
 */
public record PlacementState(
        Map<String, OrderInFlight> inFlight,
        Map<ModelVersion, LoadFailures> failures,
        Map<ModelVersion, Long> missingSinceNanos) {
    /** Copies the maps. */
    public PlacementState {
        inFlight = Collections.unmodifiableMap(new TreeMap<>(inFlight));
        failures = Map.copyOf(failures);
        missingSinceNanos = Map.copyOf(missingSinceNanos);
    }

    /** Returns a state without orders, failures or missing engines. */
    public static PlacementState empty() {
        return new PlacementState(Map.of(), Map.of(), Map.of());
    }

    /** Returns the state of a new lease holder that takes over these orders and failures; all times start now. */
    public static PlacementState takenOver(
            List<LoadOrder> orders, Map<ModelVersion, LoadFailures> failures, long nowNanos) {
        Map<String, OrderInFlight> inFlight = orders.stream()
                .map(order -> new OrderInFlight(order, nowNanos))
                .collect(Collectors.toMap(entry -> entry.order().engine(), Function.identity(), (first, last) -> last));
        Map<ModelVersion, LoadFailures> updatedFailures = new HashMap<>();
        failures.forEach((target, failed) -> updatedFailures.put(
                target, new LoadFailures(failed.count(), failed.engines(), failed.inDoubt(), nowNanos)));
        return new PlacementState(inFlight, updatedFailures, Map.of());
    }

    /** Returns the orders in flight, sorted by engine name. */
    public List<LoadOrder> orders() {
        return inFlight.values().stream().map(OrderInFlight::order).toList();
    }

    /** Returns this state with one more order in flight. */
    public PlacementState with(LoadOrder order, long nowNanos) {
        Map<String, OrderInFlight> orders = new HashMap<>(inFlight);
        orders.put(order.engine(), new OrderInFlight(order, nowNanos));
        return new PlacementState(orders, failures, missingSinceNanos);
    }

    /** Returns this state after an order has failed on an engine that may still be loading. */
    public PlacementState failed(LoadOrder order, long nowNanos) {
        return failed(order, failures(order.target()).withFailureInDoubt(order.engine(), nowNanos));
    }

    /** Returns this state after an engine has refused an order. */
    public PlacementState refused(LoadOrder order, long nowNanos) {
        return failed(order, failures(order.target()).withRefusal(order.engine(), nowNanos));
    }

    private PlacementState failed(LoadOrder order, LoadFailures updatedFailures) {
        OrderInFlight entry = inFlight.get(order.engine());
        if (entry == null || !entry.order().id().equals(order.id())) {
            return this;
        }
        Map<ModelVersion, LoadFailures> failed = new HashMap<>(failures);
        failed.put(order.target(), updatedFailures);
        return without(order).withFailures(failed);
    }

    /**
     * Returns this state updated from the listed engines: completed and failed loads, and versions that lack engines.
     */
    public PlacementState observed(
            DesiredPlacements desired, List<EngineListing> engines, long nowNanos, PlacementSettings settings) {
        Map<String, EngineListing> listed =
                engines.stream().collect(Collectors.toMap(EngineListing::name, Function.identity(), (a, b) -> b));
        PlacementState state = this;
        for (OrderInFlight entry : inFlight.values()) {
            LoadOrder order = entry.order();
            Optional<EngineListing> engine = Optional.ofNullable(listed.get(order.engine()));
            boolean serves = engine.map(EngineListing::serves)
                    .map(order.target()::equals)
                    .orElse(false);
            boolean timedOut =
                    nowNanos - entry.sinceNanos() >= settings.loadTimeout().toNanos();
            if (serves) {
                state = state.without(order).withoutFailures(order.target());
            } else if (engine.isEmpty() || timedOut) {
                state = state.failed(order, nowNanos);
            }
        }
        return state.withDesiredFailuresOnly(desired).withMissing(desired, engines, nowNanos);
    }

    LoadFailures failures(ModelVersion target) {
        return failures.getOrDefault(target, LoadFailures.none());
    }

    /** Returns the engines that may still be loading after a failure, so that the version they serve is in doubt. */
    Set<String> enginesInDoubt() {
        Set<String> engines = new HashSet<>();
        failures.values().forEach(failed -> engines.addAll(failed.inDoubt()));
        return engines;
    }

    /** Returns the number of engines that load a version, or serve it and have no order in flight. */
    long countServingOrLoading(ModelVersion target, List<EngineListing> engines) {
        long serving = engines.stream()
                .filter(engine -> !inFlight.containsKey(engine.name()))
                .filter(engine -> engine.serves().equals(target))
                .count();
        long loading = inFlight.values().stream()
                .filter(entry -> entry.order().target().equals(target))
                .count();
        return serving + loading;
    }

    private PlacementState without(LoadOrder order) {
        Map<String, OrderInFlight> orders = new HashMap<>(inFlight);
        orders.remove(order.engine());
        return new PlacementState(orders, failures, missingSinceNanos);
    }

    private PlacementState withoutFailures(ModelVersion target) {
        Map<ModelVersion, LoadFailures> kept = new HashMap<>(failures);
        kept.remove(target);
        return withFailures(kept);
    }

    private PlacementState withFailures(Map<ModelVersion, LoadFailures> newFailures) {
        return new PlacementState(inFlight, newFailures, missingSinceNanos);
    }

    private PlacementState withDesiredFailuresOnly(DesiredPlacements desired) {
        Map<ModelVersion, LoadFailures> kept = new HashMap<>(failures);
        kept.keySet().removeIf(target -> desired.count(target) == 0);
        return withFailures(kept);
    }

    private PlacementState withMissing(DesiredPlacements desired, List<EngineListing> engines, long nowNanos) {
        Map<ModelVersion, Long> missing = new HashMap<>();
        for (ModelVersion target : desired.engines().keySet()) {
            if (countServingOrLoading(target, engines) < desired.count(target)) {
                missing.put(target, missingSinceNanos.getOrDefault(target, nowNanos));
            }
        }
        return new PlacementState(inFlight, failures, missing);
    }
}
