package org.baobabcart.policy.version;

/**
 * An attempt whose answer has not begun. Immutable.
 *
 * @param number distinguishes attempts with the same key and send time
 * @param key the key under which the outcome is counted
 * @param sentNanos the time of sending, on the router's monotonic clock
 */
public record PendingAttempt(long number, VersionOutcomeKey key, long sentNanos) {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Returns the time since sending in milliseconds. */
    double elapsedMillis(long nowNanos) {
        return Math.max(0, nowNanos - sentNanos) / NANOS_PER_MILLI;
    }
}
