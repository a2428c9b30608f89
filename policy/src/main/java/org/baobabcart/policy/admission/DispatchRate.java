package org.baobabcart.policy.admission;

import java.time.Duration;

/**
 * Estimates how fast waiting work is dispatched, by an exponentially weighted mean of the time between two dispatches.
 * Times in which nothing waits do not count. Not thread-safe.
 */
final class DispatchRate {
    private static final double WEIGHT = 0.2;
    private static final long LONGEST_GAP_NANOS = Duration.ofSeconds(1).toNanos();

    private boolean begun;
    private long lastNanos;
    private double gapNanos;

    void dispatched(long nowNanos) {
        if (begun) {
            double gap = Math.min(LONGEST_GAP_NANOS, Math.max(0, nowNanos - lastNanos));
            gapNanos = gapNanos == 0 ? gap : gapNanos * (1 - WEIGHT) + gap * WEIGHT;
        }
        begun = true;
        lastNanos = nowNanos;
    }

    /** States that nothing waits any more. */
    void idle() {
        begun = false;
    }

    /** The time in which so many entries are dispatched; zero before anything is known. */
    Duration timeFor(int entries) {
        return Duration.ofNanos((long) (gapNanos * entries));
    }
}
