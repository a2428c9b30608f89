package org.baobabcart.router.claim;

import java.time.Duration;

/**
 * Settings of claims. Immutable.
 *
 * @param ownerTimeout longest wait for the owner of a partition before this node writes the journal itself
 * @param claimantTimeout longest wait for the claimant of another attempt to tell what became of it
 * @param settleTimeout longest wait for the outcome of an attempt to be stored before the settling goes on in the background
 * @param callBound time after which a call to the platform that has not ended is taken for lost
 * @param retryPeriod pause between tries to store an outcome in the background
 * @param tick period of the sweep over what waits
 */
public record ClaimSettings(
        Duration ownerTimeout,
        Duration claimantTimeout,
        Duration settleTimeout,
        Duration callBound,
        Duration retryPeriod,
        Duration tick) {
    /** Settings for routers whose data centres are a few milliseconds apart. */
    public static ClaimSettings defaults() {
        return new ClaimSettings(
                Duration.ofMillis(1000),
                Duration.ofMillis(500),
                Duration.ofSeconds(2),
                Duration.ofSeconds(5),
                Duration.ofMillis(500),
                Duration.ofMillis(20));
    }
}
