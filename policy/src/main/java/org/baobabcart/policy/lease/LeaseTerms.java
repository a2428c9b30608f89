package org.baobabcart.policy.lease;

import java.time.Duration;

/**
 * Duration and safety margins of a lease. Immutable.
 *
 * <p>The holder subtracts the margin and counts from before it sent its write; other nodes add the margin and count
 * from after they first read it. Clocks of different nodes are never compared: the margin only has to cover the
 * difference of clock rates over one duration.
 *
 * @param duration the nominal duration
 * @param margin the time by which the holder shortens the duration and other nodes extend it
 * @param maximumOrderDelay the maximum time between the holder's check and the arrival of its order
 */
public record LeaseTerms(Duration duration, Duration margin, Duration maximumOrderDelay) {
    private static final int RENEWALS_PER_DURATION = 3;

    /** Returns the terms of the lease for orders to engines. */
    public static LeaseTerms defaults() {
        return new LeaseTerms(Duration.ofSeconds(10), Duration.ofSeconds(1), Duration.ofSeconds(2));
    }

    long holderNanos() {
        return duration.minus(margin).toNanos();
    }

    long observerNanos() {
        return duration.plus(margin).toNanos();
    }

    long renewalNanos() {
        return holderNanos() / RENEWALS_PER_DURATION;
    }
}
