package org.baobabcart.policy.crash;

import java.time.Duration;
import org.baobabcart.policy.hash.RendezvousHash;

/**
 * When a quarantined request is tried again, since faults of upstreams are fixed and versions replaced. Immutable.
 *
 * <p>One request is sent after the first period, and another after ten times as long whenever the last one crashed an upstream. The
 * router that concluded the quarantine has its turn first; the others follow in case it is gone.
 *
 * @param begunNanos when the current period began
 * @param period the length of the current period
 */
public record QuarantineTrials(long begunNanos, Duration period) {
    private static final Duration FIRST_PERIOD = Duration.ofMinutes(5);
    private static final int GROWTH = 10;
    /** Over this additional time the routers that did not conclude the quarantine are spread. */
    private static final Duration SPREAD = Duration.ofMinutes(5);

    /** Begins the first period. */
    public static QuarantineTrials begin(Quarantine quarantine, String router, boolean concludedHere, long nowNanos) {
        Duration turn =
                Duration.ofNanos((long) (SPREAD.toNanos() * (1 + RendezvousHash.unitHash(quarantine.name() + router))));
        return new QuarantineTrials(nowNanos, concludedHere ? FIRST_PERIOD : FIRST_PERIOD.plus(turn));
    }

    /** Returns whether a request may be sent now. */
    public boolean isDue(long nowNanos) {
        return timeToNext(nowNanos).isZero();
    }

    /** Returns the time until a request may be sent; zero if it may be sent now. */
    public Duration timeToNext(long nowNanos) {
        return Duration.ofNanos(Math.max(0, begunNanos + period.toNanos() - nowNanos));
    }

    /** Returns the next period, after a request was sent here or has crashed an upstream anywhere. */
    public QuarantineTrials withTrial(long nowNanos) {
        // Requests that were under way when the quarantine began are no trials.
        boolean trial = nowNanos - begunNanos - FIRST_PERIOD.toNanos() >= 0;
        return new QuarantineTrials(nowNanos, trial ? period.multipliedBy(GROWTH) : period);
    }
}
