package org.baobabcart.policy.admission;

import java.time.Duration;

/**
 * Estimates how fast waiting work is dispatched, by the mean time between two dispatches: a quotient of exponentially
 * weighted sums, which is the plain mean while few are known. Nothing is said of it before a number of them: the first
 * come in bursts with long pauses. Times in which nothing waits do not count; a pause that lasts counts as soon as it is
 * longer than the mean. Not thread-safe.
 */
final class DispatchRateEstimator {
    private static final double KEPT = 31.0 / 32;
    private static final int FEWEST = 16;

    private int known;
    private boolean begun;
    private long lastNanos;
    private double gaps;
    private double nanos;

    void dispatched(long nowNanos) {
        if (begun) {
            known = Math.min(FEWEST, known + 1);
            gaps = gaps * KEPT + 1;
            nanos = nanos * KEPT + Math.max(0, nowNanos - lastNanos);
        }
        begun = true;
        lastNanos = nowNanos;
    }

    /** States that nothing waits any more. */
    void idle() {
        begun = false;
    }

    /** The mean time between two dispatches in nanoseconds; zero before anything is known. */
    double gapNanos(long nowNanos) {
        if (known < FEWEST) {
            return 0;
        }
        double mean = nanos / gaps;
        double pause = begun ? nowNanos - lastNanos : 0;
        return pause <= mean ? mean : (nanos * KEPT + pause) / (gaps * KEPT + 1);
    }

    /** The time in which so many entries are dispatched; zero before anything is known. */
    Duration timeFor(double entries, long nowNanos) {
        return Duration.ofNanos((long) (gapNanos(nowNanos) * entries));
    }
}
