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
 * Orders in flight, failed loads, and since when engines have been missing. Immutable.
 *
 * @param inFlight orders by the names of their engines
 * @param failures failed loads by what was to be loaded
 * @param missingSinceNanos since when too few engines have served or been loading a version
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

    /** A book without entries. */
    public static PlacementState empty() {
        return new PlacementState(Map.of(), Map.of(), Map.of());
    }

    /** The book of a holder that takes over; times count from now. */
    public static PlacementState takenOver(
            List<LoadOrder> orders, Map<ModelVersion, LoadFailures> failures, long nowNanos) {
        Map<String, OrderInFlight> inFlight = orders.stream()
                .map(order -> new OrderInFlight(order, nowNanos))
                .collect(Collectors.toMap(entry -> entry.order().engine(), Function.identity(), (first, last) -> last));
        Map<ModelVersion, LoadFailures> known = new HashMap<>();
        failures.forEach((target, failed) ->
                known.put(target, new LoadFailures(failed.count(), failed.engines(), failed.inDoubt(), nowNanos)));
        return new PlacementState(inFlight, known, Map.of());
    }

    /** The orders in flight, by engine. */
    public List<LoadOrder> orders() {
        return inFlight.values().stream().map(OrderInFlight::order).toList();
    }

    /** The book with one more order in flight. */
    public PlacementState with(LoadOrder order, long nowNanos) {
        Map<String, OrderInFlight> orders = new HashMap<>(inFlight);
        orders.put(order.engine(), new OrderInFlight(order, nowNanos));
        return new PlacementState(orders, failures, missingSinceNanos);
    }

    /** The book after an order has failed on an engine that may still be loading. */
    public PlacementState failed(LoadOrder order, long nowNanos) {
        return failed(order, failures(order.target()).withDoubtful(order.engine(), nowNanos));
    }

    /** The book after an engine has refused an order. */
    public PlacementState refused(LoadOrder order, long nowNanos) {
        return failed(order, failures(order.target()).withRefusal(order.engine(), nowNanos));
    }

    private PlacementState failed(LoadOrder order, LoadFailures known) {
        OrderInFlight entry = inFlight.get(order.engine());
        if (entry == null || !entry.order().id().equals(order.id())) {
            return this;
        }
        Map<ModelVersion, LoadFailures> failed = new HashMap<>(failures);
        failed.put(order.target(), known);
        return without(order).withFailures(failed);
    }

    /** What the engines show: loads that have ended or failed, and versions that lack engines. */
    public PlacementState observed(
            DesiredPlacements wanted, List<EngineListing> engines, long nowNanos, PlacementSettings settings) {
        Map<String, EngineListing> listed =
                engines.stream().collect(Collectors.toMap(EngineListing::name, Function.identity(), (a, b) -> b));
        PlacementState book = this;
        for (OrderInFlight entry : inFlight.values()) {
            LoadOrder order = entry.order();
            Optional<EngineListing> engine = Optional.ofNullable(listed.get(order.engine()));
            boolean serves = engine.map(EngineListing::serves)
                    .map(order.target()::equals)
                    .orElse(false);
            boolean late =
                    nowNanos - entry.sinceNanos() >= settings.loadTimeout().toNanos();
            if (serves) {
                book = book.without(order).forgetting(order.target());
            } else if (engine.isEmpty() || late) {
                book = book.failed(order, nowNanos);
            }
        }
        return book.withWantedOnly(wanted).withMissing(wanted, engines, nowNanos);
    }

    LoadFailures failures(ModelVersion target) {
        return failures.getOrDefault(target, LoadFailures.none());
    }

    /** Engines that may still be loading, so that what they serve is in doubt. */
    Set<String> doubted() {
        Set<String> engines = new HashSet<>();
        failures.values().forEach(failed -> engines.addAll(failed.inDoubt()));
        return engines;
    }

    /** Engines that serve a version and have no order, and those that load it. */
    long present(ModelVersion target, List<EngineListing> engines) {
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

    private PlacementState forgetting(ModelVersion target) {
        Map<ModelVersion, LoadFailures> kept = new HashMap<>(failures);
        kept.remove(target);
        return withFailures(kept);
    }

    private PlacementState withFailures(Map<ModelVersion, LoadFailures> newFailures) {
        return new PlacementState(inFlight, newFailures, missingSinceNanos);
    }

    private PlacementState withWantedOnly(DesiredPlacements wanted) {
        Map<ModelVersion, LoadFailures> kept = new HashMap<>(failures);
        kept.keySet().removeIf(target -> wanted.count(target) == 0);
        return withFailures(kept);
    }

    private PlacementState withMissing(DesiredPlacements wanted, List<EngineListing> engines, long nowNanos) {
        Map<ModelVersion, Long> missing = new HashMap<>();
        for (ModelVersion target : wanted.engines().keySet()) {
            if (present(target, engines) < wanted.count(target)) {
                missing.put(target, missingSinceNanos.getOrDefault(target, nowNanos));
            }
        }
        return new PlacementState(inFlight, failures, missing);
    }
}
