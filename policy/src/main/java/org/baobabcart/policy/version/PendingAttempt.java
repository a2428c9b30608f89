package org.baobabcart.policy.version;

/**
 * An attempt whose answer has not begun. Immutable.
 *
 * @param number tells attempts of the same kind apart
 * @param key what its outcome is counted by
 * @param sentNanos when it was sent, on the router's monotonic clock
 */
public record PendingAttempt(long number, VersionOutcomeKey key, long sentNanos) {
    private static final double NANOS_PER_MILLI = 1e6;

    /** The time that has passed since it was sent. */
    double elapsedMillis(long nowNanos) {
        return Math.max(0, nowNanos - sentNanos) / NANOS_PER_MILLI;
    }
}
