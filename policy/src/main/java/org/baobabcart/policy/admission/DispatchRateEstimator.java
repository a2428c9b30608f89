package org.baobabcart.policy.admission;

import java.time.Duration;

/**
 * Estimates the dispatch rate from the mean time between two dispatches.
 *
 * <p>The mean is the quotient of two exponentially weighted sums, so that it equals the plain mean while there are few
 * samples. No estimate is given before a minimum number of samples, since the first dispatches come in bursts with long
 * pauses between them. Times with an empty queue are not counted. The time since the last dispatch counts as a further
 * sample once it exceeds the mean. Not thread-safe.
 */
final class DispatchRateEstimator {
    private static final double DECAY = 31.0 / 32;
    private static final int MINIMUM_SAMPLES = 16;

    private int samples;
    private boolean hasPreviousDispatch;
    private long lastDispatchNanos;
    private double weightedGaps;
    private double weightedNanos;

    void recordDispatch(long nowNanos) {
        if (hasPreviousDispatch) {
            samples = Math.min(MINIMUM_SAMPLES, samples + 1);
            weightedGaps = weightedGaps * DECAY + 1;
            weightedNanos = weightedNanos * DECAY + Math.max(0, nowNanos - lastDispatchNanos);
        }
        hasPreviousDispatch = true;
        lastDispatchNanos = nowNanos;
    }

    /** Records that the queue is empty, so that the time until the next dispatch is not counted. */
    void recordEmptyQueue() {
        hasPreviousDispatch = false;
    }

    /** Returns the mean time between two dispatches in nanoseconds, or zero while there are too few samples. */
    double gapNanos(long nowNanos) {
        if (samples < MINIMUM_SAMPLES) {
            return 0;
        }
        double mean = weightedNanos / weightedGaps;
        double pause = hasPreviousDispatch ? nowNanos - lastDispatchNanos : 0;
        return pause <= mean ? mean : (weightedNanos * DECAY + pause) / (weightedGaps * DECAY + 1);
    }

    /** Returns the estimated time to dispatch a number of entries, or zero while there are too few samples. */
    Duration timeFor(double entries, long nowNanos) {
        return Duration.ofNanos((long) (gapNanos(nowNanos) * entries));
    }
}
