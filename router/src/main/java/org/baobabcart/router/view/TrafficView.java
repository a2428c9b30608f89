package org.baobabcart.router.view;

import java.util.List;
import java.util.Optional;
import org.baobabcart.model.gateway.RouteTable;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.policy.upstream.Evacuations;
import org.baobabcart.policy.version.TrackedVersionOrder;

/**
 * Snapshot of the control state for traffic threads. Immutable; the control thread publishes a new one after each
 * change.
 *
 * @param sheet the sheet in force; empty before the first one
 * @param rollOuts progress and withdrawals of roll-outs
 * @param upstreams engines and services that may be given new requests; none in evacuated data centres
 * @param stopping whether the process accepts no more requests
 * @param routes the routes of the opaque request path; empty before the first ones and where that path is not used
 * @param versionOrders orders to move services to other versions, with the time since each was first seen
 * @param evacuations the data centres that are out of use
 */
public record TrafficView(
        Optional<PublishedSheet> sheet,
        RollOutState rollOuts,
        List<VirtualMachine> upstreams,
        boolean stopping,
        Optional<RouteTable> routes,
        List<TrackedVersionOrder> versionOrders,
        Evacuations evacuations) {
    /** Copies the collections. */
    public TrafficView {
        upstreams = List.copyOf(upstreams);
        versionOrders = List.copyOf(versionOrders);
    }

    /** Creates a view of a process that does not use the opaque request path. */
    public TrafficView(
            Optional<PublishedSheet> sheet, RollOutState rollOuts, List<VirtualMachine> upstreams, boolean stopping) {
        this(sheet, rollOuts, upstreams, stopping, Optional.empty(), List.of(), Evacuations.none());
    }

    /** Returns the order that moves a service to another version, whether or not it has ended. */
    public Optional<TrackedVersionOrder> versionOrder(String service) {
        return versionOrders.stream()
                .filter(tracked -> tracked.order().service().equals(service))
                .findFirst();
    }

    /** Returns the generation of the table of routes or, without one, of the sheet; zero before the first one. */
    public long generation() {
        return routes.map(RouteTable::version)
                .or(() -> sheet.map(PublishedSheet::generation))
                .orElse(0L);
    }

    /** Returns the view of a process before any control state is known. */
    public static TrafficView empty() {
        return new TrafficView(Optional.empty(), RollOutState.empty(), List.of(), false);
    }
}
