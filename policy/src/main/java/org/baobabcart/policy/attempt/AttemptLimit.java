package org.baobabcart.policy.attempt;

/**
 * Limits the attempts of one request. Immutable.
 *
 * <p>The limit answers the load after many upstreams crash at once: they are back at the same addresses, and for a second or two the list still names their
 * predecessors. An attempt there is rejected within milliseconds and has not run. If it counted like a run, a request would be refused after a few such
 * attempts while other upstreams are idle.
 *
 * @param maximumRuns the maximum number of attempts that may have run
 */
public record AttemptLimit(int maximumRuns) {
    /**
     * The maximum number of attempts that certainly did not run. With half of all upstreams replaced at once, one request in 256 would need more; these
     * attempts together take a small part of the shortest latency target.
     */
    public static final int MAXIMUM_NOT_RUN = 8;

    /**
     * Returns whether the request may be given to another upstream.
     *
     * @param tried the number of attempts so far, whether sent or not
     */
    public boolean allowsAnother(int tried, AttemptHistory history) {
        int mayHaveRun = history.uncertain() + history.open();
        return mayHaveRun < maximumRuns && tried - mayHaveRun < MAXIMUM_NOT_RUN;
    }
}
