package org.baobabcart.router.gateway;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.router.upstream.IsolationDetector;
import org.baobabcart.router.upstream.UpstreamHealth;
import org.baobabcart.router.view.TrafficView;

/**
 * Tracks whether this router can reach the platform and the upstreams. Thread-safe.
 *
 * <p>If a data centre is cut off, requests for upstreams that are all in other data centres are rejected at once, with a retry time
 * after which the balancer sends them to another data centre.
 */
final class Reachability {
    private final UpstreamHealth health;
    private final IsolationDetector isolation;
    private volatile boolean platformReachable = true;

    private Reachability(UpstreamHealth health, IsolationDetector isolation) {
        this.health = health;
        this.isolation = isolation;
    }

    static Reachability of(UpstreamHealth health, IsolationDetector isolation) {
        return new Reachability(health, isolation);
    }

    /** Returns whether all upstreams are out of reach. */
    boolean isIsolated() {
        return isolation.isIsolated();
    }

    /** Calls an action on the control thread when all upstreams are out of reach, and when one is within reach again. */
    void onIsolationChange(Consumer<Boolean> listener) {
        isolation.onChange(listener);
    }

    void setPlatformReachable(boolean reachable) {
        platformReachable = reachable;
    }

    /** Returns whether any upstream of a pool may be reachable; true for an empty pool, which is reported as another error. */
    boolean mayServe(List<VirtualMachine> members) {
        return members.isEmpty() || !isIsolated() && isAnyReachable(members);
    }

    /** Returns whether any upstream of a pool is reachable as far as known. */
    boolean isAnyUnsuspected(List<VirtualMachine> members) {
        return members.stream().anyMatch(member -> !health.isSuspected(member.name()));
    }

    /**
     * Returns whether no upstream at all, or neither the platform nor any upstream of at least one service is reachable; other routers probably can
     * reach them.
     */
    boolean isCutOff(TrafficView view) {
        if (isIsolated()) {
            return true;
        }
        if (platformReachable) {
            return false;
        }
        Map<String, List<VirtualMachine>> byService =
                view.upstreams().stream().collect(Collectors.groupingBy(VirtualMachine::service));
        return byService.values().stream().anyMatch(members -> !isAnyReachable(members));
    }

    private boolean isAnyReachable(List<VirtualMachine> members) {
        return members.stream().anyMatch(member -> !health.isUnreachable(member.name()));
    }
}
