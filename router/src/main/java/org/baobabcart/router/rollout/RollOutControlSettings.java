package org.baobabcart.router.rollout;

import java.time.Duration;
import org.baobabcart.policy.lease.LeaseTerms;
import org.baobabcart.policy.rollout.RollOutSettings;

/**
 * Settings of the control of roll-outs. Immutable.
 *
 * @param period how often roll-outs are judged
 * @param takeOverDelay how long this router must have been the one to control before it takes over, so that a router
 *     that does not know its peers yet takes nothing over
 * @param stopWriteDelay how long a router that does not control waits for the controller to write a stop
 * @param maximumReports the greatest number of evidence reports in an exchange
 * @param lease terms of the lease on the control
 * @param judgement settings of the judgement
 */
public record RollOutControlSettings(
        Duration period,
        Duration takeOverDelay,
        Duration stopWriteDelay,
        int maximumReports,
        LeaseTerms lease,
        RollOutSettings judgement) {
    private static final Duration PERIOD = Duration.ofSeconds(1);
    private static final Duration TAKE_OVER_DELAY = Duration.ofSeconds(5);
    private static final Duration STOP_WRITE_DELAY = Duration.ofSeconds(5);
    private static final int MAXIMUM_REPORTS = 32;
    private static final LeaseTerms LEASE = new LeaseTerms(Duration.ofSeconds(4), Duration.ofSeconds(1), Duration.ZERO);

    /** The settings that the router uses. */
    public static RollOutControlSettings defaults() {
        return new RollOutControlSettings(
                PERIOD, TAKE_OVER_DELAY, STOP_WRITE_DELAY, MAXIMUM_REPORTS, LEASE, RollOutSettings.defaults());
    }
}
