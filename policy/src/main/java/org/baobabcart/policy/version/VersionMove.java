package org.baobabcart.policy.version;

import org.baobabcart.model.gateway.VersionOrder;

/**
 * The share of a service's requests that the target of an order gets. Immutable and thread-safe.
 *
 * <p>The load that it answers: a new version of unknown quality, with a deadline by which all traffic has to be on it, while
 * bursts and crashes take the engines of the old one. A small share tries it first. Then both versions
 * share the requests, which uses the engines of both. The share only rises, so that a session whose point lies below it stays on the
 * target. Then all new requests go to the target, and those that run on the old
 * version have time to end before its engines stop.
 *
 * @param trialShare the share during the trial
 * @param trialPart the part of the order's time that the trial takes at least
 * @param sharedPart the part of the order's time after which all requests go to the target
 * @param completionPart the part of the order's time after which it is reported as completed
 */
public record VersionMove(double trialShare, double trialPart, double sharedPart, double completionPart) {
    /** Half of the share of a bad version that an operator tolerates, so that retries and uneven routers stay below it. */
    private static final double TRIAL_PART_OF_EXPOSURE = 0.5;

    /** Sessions keep their version through the first half of a move. */
    private static final double DEFAULT_TRIAL_PART = 0.52;

    private static final double SHARED_SHARE = 0.5;
    private static final double DEFAULT_SHARED_PART = 0.65;
    private static final double DEFAULT_COMPLETION_PART = 0.88;

    /**
     * A move under a bound on exposure.
     *
     * @param exposureShare the greatest share of requests that a bad version may get
     */
    public static VersionMove under(double exposureShare) {
        return new VersionMove(
                exposureShare * TRIAL_PART_OF_EXPOSURE,
                DEFAULT_TRIAL_PART,
                DEFAULT_SHARED_PART,
                DEFAULT_COMPLETION_PART);
    }

    /**
     * The share of requests that go to the target. It depends on the time alone, since a session whose requests meet routers
     * with unlike shares would go to the target and back.
     */
    public double share(FollowedOrder followed, long nowNanos) {
        return switch (followed.order().state()) {
            case COMPLETED -> 1;
            case WITHDRAWN -> 0;
            case ORDERED, MOVING -> movingShare(followed.progress(nowNanos));
        };
    }

    private double movingShare(double progress) {
        if (progress >= sharedPart) {
            return 1;
        }
        return progress >= trialPart ? SHARED_SHARE : trialShare;
    }

    /** Whether the order should be reported as completed. */
    public boolean isComplete(FollowedOrder followed, long nowNanos) {
        return followed.order().state() == VersionOrder.State.MOVING && followed.progress(nowNanos) >= completionPart;
    }
}
