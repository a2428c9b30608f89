package org.baobabcart.router.gateway;

import java.util.List;
import java.util.Optional;
import org.baobabcart.model.gateway.VersionOrder;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.version.TrackedVersionOrder;
import org.baobabcart.router.upstream.Pool;
import org.baobabcart.router.view.TrafficView;

/** Which versions of a service a request may run on. Stateless. */
final class VersionPoolSelector {
    private VersionPoolSelector() {}

    /**
     * The pool for a request.
     *
     * @param point a number from 0 (inclusive) to 1 (exclusive), the same for all requests of a session
     */
    static Pool of(TrafficView view, GatewayRuntime runtime, String service, double point) {
        Pool all = Pool.ofService(service);
        Optional<TrackedVersionOrder> followed = view.versionOrder(service);
        if (followed.isEmpty()) {
            return all;
        }
        VersionOrder order = followed.get().order();
        Pool target = all.withVersion(order.target());
        Pool others = all.withoutVersion(order.target());
        double share = runtime.settings().move().share(followed.get(), System.nanoTime());
        boolean onTarget = point < share;
        if (order.state() == VersionOrder.State.WITHDRAWN) {
            return others;
        }
        Pool chosen = onTarget ? target : others;
        List<VirtualMachine> members = runtime.attempts().dispatcher().membersOf(view, chosen);
        return !members.isEmpty() && runtime.reach().mayServe(members) ? chosen : all;
    }

    /** Whether the upstream's version was stopped, which may have happened while a request waited for it. */
    static boolean isWithdrawn(TrafficView view, VirtualMachine upstream) {
        return view.versionOrder(upstream.service())
                .map(TrackedVersionOrder::order)
                .filter(order -> order.state() == VersionOrder.State.WITHDRAWN)
                .filter(order -> order.target().equals(upstream.version()))
                .isPresent();
    }
}
