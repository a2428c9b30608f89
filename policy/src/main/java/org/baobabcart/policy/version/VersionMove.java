package org.baobabcart.policy.version;

import org.baobabcart.model.gateway.VersionOrder;

/**
 * The share of a service's requests that the target of an order gets. Immutable and thread-safe.
 *
 * <p>The load that it answers: a new version of unknown quality under full traffic, with a deadline by which all traffic
 * has to be on it. A small share tries it for most of the time, so that a bad version is found while few requests meet it;
 * then all new requests go there and those that run on the old version have time to end before the old engines stop.
 *
 * @param trialShare the share during the trial
 * @param trialPart the part of the order's time that the trial takes
 * @param completionPart the part of the order's time after which it is reported as completed
 */
public record VersionMove(double trialShare, double trialPart, double completionPart) {
    /** Half of the share of a bad version that an operator tolerates, so that retries and uneven routers stay below it. */
    private static final double TRIAL_PART_OF_EXPOSURE = 0.5;

    private static final double DEFAULT_TRIAL_PART = 0.65;
    private static final double DEFAULT_COMPLETION_PART = 0.88;

    /**
     * A move under a bound on exposure.
     *
     * @param exposureShare the greatest share of requests that a bad version may get
     */
    public static VersionMove under(double exposureShare) {
        return new VersionMove(exposureShare * TRIAL_PART_OF_EXPOSURE, DEFAULT_TRIAL_PART, DEFAULT_COMPLETION_PART);
    }

    /** The share of requests that go to the target. */
    public double share(FollowedOrder followed, long nowNanos) {
        return switch (followed.order().state()) {
            case COMPLETED -> 1;
            case WITHDRAWN -> 0;
            case ORDERED, MOVING -> followed.progress(nowNanos) < trialPart ? trialShare : 1;
        };
    }

    /** Whether the order should be reported as completed. */
    public boolean isComplete(FollowedOrder followed, long nowNanos) {
        return followed.order().state() == VersionOrder.State.MOVING && followed.progress(nowNanos) >= completionPart;
    }
}
