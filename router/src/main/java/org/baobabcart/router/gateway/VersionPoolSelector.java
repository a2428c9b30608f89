package org.baobabcart.router.gateway;

import java.util.List;
import java.util.Optional;
import org.baobabcart.model.gateway.VersionOrder;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.version.TrackedVersionOrder;
import org.baobabcart.router.upstream.Pool;
import org.baobabcart.router.view.TrafficView;

/** Selects the versions of a service that a request may run on. Stateless. */
final class VersionPoolSelector {
    private VersionPoolSelector() {}

    /**
     * Returns the pool for a request: during a move the target version or the other versions, by the target's current share. If
     * all of the selected upstreams are suspected, all versions, unless the target is withdrawn.
     *
     * @param sessionHash a number from 0 (inclusive) to 1 (exclusive), the same for all requests of a session
     */
    static Pool of(TrafficView view, GatewayRuntime runtime, String service, double sessionHash) {
        Pool all = Pool.ofService(service);
        Optional<TrackedVersionOrder> tracked = view.versionOrder(service);
        if (tracked.isEmpty()) {
            return all;
        }
        VersionOrder order = tracked.get().order();
        Pool target = all.withVersion(order.target());
        Pool others = all.withoutVersion(order.target());
        double share = runtime.settings().move().share(tracked.get(), System.nanoTime());
        boolean isOnTarget = sessionHash < share;
        if (order.state() == VersionOrder.State.WITHDRAWN) {
            return others;
        }
        Pool chosen = isOnTarget ? target : others;
        List<VirtualMachine> members = runtime.attempts().dispatcher().membersOf(view, chosen);
        return runtime.reachability().isAnyUnsuspected(members) ? chosen : all;
    }

    /** Returns whether the upstream's version is withdrawn, which may happen while a request waits for it. */
    static boolean isWithdrawn(TrafficView view, VirtualMachine upstream) {
        return view.versionOrder(upstream.service())
                .map(TrackedVersionOrder::order)
                .filter(order -> order.state() == VersionOrder.State.WITHDRAWN)
                .filter(order -> order.target().equals(upstream.version()))
                .isPresent();
    }
}
