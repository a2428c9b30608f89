package org.baobabcart.router.view;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.sheet.PublishedSheet;

/**
 * What the traffic threads know of the control state. Immutable; the control thread publishes a new one after each
 * change.
 *
 * @param sheet the sheet in force; empty before the first one
 * @param rollOuts progress and withdrawals
 * @param upstreams engines and services that may get new work
 * @param quarantined fingerprints of requests that crash upstreams
 * @param stopping whether the process takes no more requests
 */
public record TrafficView(
        Optional<PublishedSheet> sheet,
        RollOutState rollOuts,
        List<VirtualMachine> upstreams,
        Set<String> quarantined,
        boolean stopping) {
    /** Copies the collections. */
    public TrafficView {
        upstreams = List.copyOf(upstreams);
        quarantined = Set.copyOf(quarantined);
    }

    /** The view of a process that knows nothing yet. */
    public static TrafficView empty() {
        return new TrafficView(Optional.empty(), RollOutState.empty(), List.of(), Set.of(), false);
    }
}
