package org.baobabcart.policy.lease;

import java.time.Duration;

/**
 * How long a lease lasts. Immutable.
 *
 * <p>The holder counts less than the duration from before it sent its write; the others count more from after they saw
 * it. No two machines' clocks are compared: the margin only has to cover the difference in rate over one duration.
 *
 * @param duration the nominal duration
 * @param margin by how much the holder counts less and the others more
 * @param orderFlight the longest time between the holder's check and the arrival of its order
 */
public record LeaseTerms(Duration duration, Duration margin, Duration orderFlight) {
    private static final int RENEWALS_PER_DURATION = 3;

    /** Terms for orders to engines. */
    public static LeaseTerms defaults() {
        return new LeaseTerms(Duration.ofSeconds(10), Duration.ofSeconds(1), Duration.ofSeconds(2));
    }

    long holderNanos() {
        return duration.minus(margin).toNanos();
    }

    long otherNanos() {
        return duration.plus(margin).toNanos();
    }

    long renewalNanos() {
        return holderNanos() / RENEWALS_PER_DURATION;
    }
}
