package org.baobabcart.policy.limit;

/**
 * A router's claim to be the only one that sends requests to an upstream with a rate limit. Immutable.
 *
 * @param incarnation the incarnation of the upstream that advertised the limit
 * @param perSecond the advertised limit in requests a second
 * @param router the name of the router that holds the claim; empty if its holder has released it
 * @param process distinguishes the processes of that router
 * @param renewals the number of renewals, which changes the claim so that others see that its holder lives
 */
public record RateLimitClaim(long incarnation, double perSecond, String router, String process, long renewals) {
    /** Returns whether a process of a router holds the claim. */
    public boolean isHeldBy(String otherRouter, String otherProcess) {
        return router.equals(otherRouter) && process.equals(otherProcess);
    }

    /** Returns whether its holder has released the claim. */
    public boolean isReleased() {
        return router.isEmpty();
    }

    /** Returns a copy that no router holds. */
    public RateLimitClaim released() {
        return new RateLimitClaim(incarnation, perSecond, "", "", renewals + 1);
    }

    /** Returns a copy with another limit and one more renewal. */
    public RateLimitClaim renewed(double newPerSecond) {
        return new RateLimitClaim(incarnation, newPerSecond, router, process, renewals + 1);
    }
}
