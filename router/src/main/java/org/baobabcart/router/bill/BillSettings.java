package org.baobabcart.router.bill;

import java.time.Duration;

/**
 * Settings of bills. Immutable.
 *
 * @param holdTimeout how long a request waits for a second holder of its bill
 * @param peerTimeout the time-out of a request to one router
 * @param retryPeriod the delay after an offer that no router accepted and after a failed commit
 * @param stopTimeout how long a planned stop waits for bills to be committed or handed over
 * @param tickPeriod the interval at which time-outs, offers and commits are checked
 */
public record BillSettings(
        Duration holdTimeout, Duration peerTimeout, Duration retryPeriod, Duration stopTimeout, Duration tickPeriod) {
    /** Returns settings for routers whose data centres are a few milliseconds apart. */
    public static BillSettings defaults() {
        return new BillSettings(
                Duration.ofSeconds(1),
                Duration.ofMillis(300),
                Duration.ofMillis(500),
                Duration.ofSeconds(10),
                Duration.ofMillis(50));
    }
}
