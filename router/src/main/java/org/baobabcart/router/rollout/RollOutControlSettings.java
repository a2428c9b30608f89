package org.baobabcart.router.rollout;

import java.time.Duration;
import org.baobabcart.policy.lease.LeaseTerms;
import org.baobabcart.policy.rollout.RollOutSettings;

/**
 * Settings of the control of roll-outs. Immutable.
 *
 * @param period the interval at which roll-outs are evaluated
 * @param takeOverDelay how long this router must have been selected as controller, and the published state unchanged,
 *     before it starts or takes over a roll-out; prevents a router that has not discovered its peers yet from taking
 *     control
 * @param stopWriteDelay how long a router that is not the controller waits for the controller to write a stop
 * @param maximumReports the maximum number of evidence reports in an exchange
 * @param lease the terms of the controller lease
 * @param judgement the settings of the statistical evaluation
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

    /** Returns the settings used by the router. */
    public static RollOutControlSettings defaults() {
        return new RollOutControlSettings(
                PERIOD, TAKE_OVER_DELAY, STOP_WRITE_DELAY, MAXIMUM_REPORTS, LEASE, RollOutSettings.defaults());
    }
}
