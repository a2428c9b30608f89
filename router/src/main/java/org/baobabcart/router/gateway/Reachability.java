package org.baobabcart.router.gateway;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.router.upstream.UpstreamHealth;
import org.baobabcart.router.view.TrafficView;

/**
 * What this router can reach. Thread-safe.
 *
 * <p>The load that it answers: a data centre is cut off, and some of its requests are for upstreams that all stand elsewhere.
 * They are refused at once, with a time after which the balancer sends them to another data centre.
 */
final class Reachability {
    private final UpstreamHealth health;
    private volatile boolean platformReachable = true;

    private Reachability(UpstreamHealth health) {
        this.health = health;
    }

    static Reachability of(UpstreamHealth health) {
        return new Reachability(health);
    }

    void setPlatformReachable(boolean nowReachable) {
        platformReachable = nowReachable;
    }

    /** Whether one of a pool's upstreams may be reachable; true for a pool without any, which is another kind of lack. */
    boolean mayServe(List<VirtualMachine> members) {
        return members.isEmpty() || anyReachable(members);
    }

    /** Whether neither the platform nor any upstream of some service can be reached, as other routers probably can. */
    boolean isCutOff(TrafficView view) {
        if (platformReachable) {
            return false;
        }
        Map<String, List<VirtualMachine>> byService =
                view.upstreams().stream().collect(Collectors.groupingBy(VirtualMachine::service));
        return byService.values().stream().anyMatch(members -> !anyReachable(members));
    }

    private boolean anyReachable(List<VirtualMachine> members) {
        return members.stream().anyMatch(member -> !health.isUnreachable(member.name()));
    }
}
