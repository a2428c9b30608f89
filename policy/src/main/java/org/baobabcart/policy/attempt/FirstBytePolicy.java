package org.baobabcart.policy.attempt;

import java.util.OptionalDouble;

/**
 * Decides when an attempt that has not begun to answer is replaced by one at another upstream, so that the caller still
 * gets its answer in time. Stateless.
 *
 * <p>Answers the load of a few engines that read long prompts while the others are free: a short prompt behind them
 * waits for seconds, and a router of many does not know which engines these are. Under a load that all engines share,
 * another attempt would only queue again, so there is no early replacement.
 */
public final class FirstBytePolicy {
    /** Leaves as much of the time to the target for the next attempt as for this one. */
    private static final double SHARE_FOR_THIS_ATTEMPT = 0.5;
    /** Most waiting times are shorter than four times their mean. */
    private static final double EXPECTED_MULTIPLE = 4;

    private FirstBytePolicy() {}

    /**
     * Returns how long to wait for the first byte; empty if another attempt is not expected to be in time.
     *
     * @param nanosToTarget the time left until the request's latency target; may be negative
     * @param expectedNanos the time to the first byte that is expected under the current load; zero if unknown
     */
    public static OptionalDouble replaceAfterNanos(double nanosToTarget, double expectedNanos) {
        double wait = nanosToTarget * SHARE_FOR_THIS_ATTEMPT;
        return expectedNanos > 0 && wait >= expectedNanos * EXPECTED_MULTIPLE
                ? OptionalDouble.of(wait)
                : OptionalDouble.empty();
    }
}
