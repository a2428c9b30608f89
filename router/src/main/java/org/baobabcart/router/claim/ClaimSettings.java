package org.baobabcart.router.claim;

import java.time.Duration;

/**
 * Settings of claims. Immutable.
 *
 * @param ownerTimeout the time-out of a request to a partition's owner, after which this node writes the journal itself
 * @param claimantTimeout the time-out of a request for the state of another claimant's attempt
 * @param settleTimeout the time-out for storing an outcome, after which storing continues in the background
 * @param platformCallTimeout the time after which a call to the platform counts as lost
 * @param retryPeriod the delay between attempts to store an outcome in the background
 * @param tickPeriod the interval at which time-outs and retries are checked
 */
public record ClaimSettings(
        Duration ownerTimeout,
        Duration claimantTimeout,
        Duration settleTimeout,
        Duration platformCallTimeout,
        Duration retryPeriod,
        Duration tickPeriod) {
    /** Returns settings for routers whose data centres are a few milliseconds apart. */
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
