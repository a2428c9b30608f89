package org.baobabcart.router.order;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.baobabcart.policy.placement.LoadFailures;
import org.baobabcart.policy.placement.LoadOrder;
import org.baobabcart.policy.placement.ModelVersion;
import org.baobabcart.policy.placement.PlacementState;

/**
 * Orders and failed loads that the holder of a lease stores before it sends orders, so that the next holder can
 * continue from them. Immutable.
 *
 * @param orders orders that may have been sent and whose engines do not serve the target yet
 * @param failures failed loads
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record OrderJournal(List<LoadOrder> orders, List<Failure> failures) {
    /** Replaces missing lists by empty ones. */
    public OrderJournal {
        orders = orders == null ? List.of() : List.copyOf(orders);
        failures = failures == null ? List.of() : List.copyOf(failures);
    }

    /**
     * Failed loads of one version. Immutable.
     *
     * @param target the version
     * @param count the number of failed loads
     * @param engines the engines on which loads failed, sorted by name
     * @param inDoubt those of the engines that may still be loading
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Failure(ModelVersion target, int count, List<String> engines, List<String> inDoubt) {
        /** Copies the lists; a missing list becomes an empty one. */
        public Failure {
            engines = engines == null ? List.of() : List.copyOf(engines);
            inDoubt = inDoubt == null ? List.of() : List.copyOf(inDoubt);
        }
    }

    /** Returns a journal without entries. */
    public static OrderJournal empty() {
        return new OrderJournal(List.of(), List.of());
    }

    /** Returns the journal of the orders and failed loads in a placement state. */
    public static OrderJournal of(PlacementState state) {
        List<Failure> failures = state.failures().entrySet().stream()
                .map(entry -> new Failure(
                        entry.getKey(),
                        entry.getValue().count(),
                        List.copyOf(new TreeSet<>(entry.getValue().engines())),
                        List.copyOf(new TreeSet<>(entry.getValue().inDoubt()))))
                .sorted(Comparator.comparing(failure -> failure.target().toString()))
                .toList();
        return new OrderJournal(state.orders(), failures);
    }

    /** Returns the placement state of a new holder that starts from this journal. */
    public PlacementState toPlacementState(long nowNanos) {
        Map<ModelVersion, LoadFailures> loadFailures = new HashMap<>();
        failures.forEach(failure -> loadFailures.put(
                failure.target(),
                new LoadFailures(
                        failure.count(), Set.copyOf(failure.engines()), Set.copyOf(failure.inDoubt()), nowNanos)));
        return PlacementState.takenOver(orders, loadFailures, nowNanos);
    }
}
