package org.baobabcart.router.bill;

import java.time.Duration;

/**
 * Settings of bills. Immutable.
 *
 * @param holdTimeout longest wait of a request for a second holder of its bill
 * @param peerTimeout longest wait for one router that is asked to hold bills
 * @param retryPeriod pause after an offer that no router took and after a commit that failed
 * @param stopTimeout longest wait of a planned stop for bills to be committed or handed over
 * @param tick period of the sweep over what waits
 */
public record BillSettings(
        Duration holdTimeout, Duration peerTimeout, Duration retryPeriod, Duration stopTimeout, Duration tick) {
    /** Settings for routers whose data centres are a few milliseconds apart. */
    public static BillSettings defaults() {
        return new BillSettings(
                Duration.ofSeconds(1),
                Duration.ofMillis(300),
                Duration.ofMillis(500),
                Duration.ofSeconds(10),
                Duration.ofMillis(50));
    }
}
