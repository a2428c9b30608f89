package org.baobabcart.policy.warmup;

import java.util.Collection;
import java.util.Comparator;
import org.baobabcart.policy.hash.RendezvousHash;

/**
 * Divides the requests that a cold upstream bears among a few routers, its owners. Immutable.
 *
 * <p>The load that it answers: many routers choose the same upstream, for example because its prompts are asked for, in the second in which
 * it has come back.
 *
 * <p>Each owner gets so few requests that two disjoint groups of owners, chosen from differing views of the routers, keep the bound.
 *
 * @param owners the number of owners of each cold upstream
 * @param maxPerWindow the requests that an owner may send in any {@link StartPace#WINDOW}
 * @param perSecond the rate of an owner over longer times
 */
public record StartBudget(int owners, int maxPerWindow, double perSecond) {
    private static final int MAX_OWNERS = 3;
    /** Limits the memory for counting; no upstream is cold at such rates. */
    private static final int MAX_PER_WINDOW = 10_000;
    /** Groups of owners that may be active at the same time. */
    private static final int GROUPS = 2;

    /**
     * A router that may be an owner. Immutable.
     *
     * @param name the router's name
     * @param dataCentre the name of its data centre
     */
    public record Router(String name, String dataCentre) {}

    /**
     * Creates the budget of a service.
     *
     * @param requestsPerSecond the rate that a cold upstream bears from all routers together
     * @param maxPerSecond the bound on its requests in any second
     */
    public static StartBudget of(double requestsPerSecond, double maxPerSecond) {
        if (!(maxPerSecond >= 1)) {
            return new StartBudget(1, 0, 0);
        }
        int owners = (int) Math.max(1, Math.min(MAX_OWNERS, Math.floor(maxPerSecond / GROUPS)));
        int maxPerWindow = (int) Math.max(1, Math.min(MAX_PER_WINDOW, Math.floor(maxPerSecond / (GROUPS * owners))));
        return new StartBudget(owners, maxPerWindow, requestsPerSecond / owners);
    }

    /**
     * Returns whether a router is one of the owners of an upstream. Routers in the upstream's data centre come before the others, and within
     * these groups the order is that of rendezvous hashing.
     *
     * @param members the routers that are known, with this one
     */
    public boolean isOwner(String upstream, String dataCentre, Router self, Collection<Router> members) {
        Comparator<Router> order = Comparator.<Router, Boolean>comparing(
                        member -> !member.dataCentre().equals(dataCentre))
                .thenComparing(member -> RendezvousHash.weight(upstream, member.name()))
                .thenComparing(Router::name);
        return members.contains(self)
                && members.stream()
                                .filter(member -> order.compare(member, self) < 0)
                                .limit(owners)
                                .count()
                        < owners;
    }
}
