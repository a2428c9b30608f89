package org.baobabcart.policy.retry;

import java.util.Arrays;

/**
 * Limits retries to a share of first attempts within a sliding window. Not thread-safe.
 *
 * <p>When a data centre is cut off, many streams break at the same moment and each needs one retry. A token bucket
 * would have to be as large as that burst; a window allows all of them as long as the retries within it stay below the
 * share. Attempts are counted in time slots. The counts cover one slot more than the window, so that no period of the
 * window's length contains more retries than allowed.
 *
 * <p>Many budgets can share one limit of {@code ratio} times all first attempts plus a slack. As long as {@code share}
 * and {@code additionalShare} add up to the ratio, all budgets together allow at most that, plus one retry for each
 * budget.
 */
public final class SlidingWindowRetryBudget {
    private static final int SLOTS = 20;
    /** Allowed with few or no first attempts, so that rare requests can be retried at all. */
    private static final double MINIMUM_ADDITIONAL = 1;

    private Settings settings;
    private long slotNanos;
    private final long[] firstAttempts = new long[SLOTS + 1];
    private final long[] retries = new long[SLOTS + 1];
    private long currentSlot;

    /**
     * Configuration of a budget.
     *
     * @param share the number of retries allowed for each first attempt
     * @param additionalShare the number of further retries allowed for each first attempt, up to the maximum
     * @param maximumAdditional the maximum number of retries in a window beyond the share
     * @param windowNanos the length of the window
     */
    public record Settings(double share, double additionalShare, double maximumAdditional, long windowNanos) {
        private static final double DEFAULT_SHARE = 0.1;
        private static final double DEFAULT_ADDITIONAL_SHARE = 0.1;
        private static final double DEFAULT_MAXIMUM_ADDITIONAL = 10;
        private static final long DEFAULT_WINDOW_NANOS = 10_000_000_000L;

        /** Returns the default settings. */
        public static Settings defaults() {
            return new Settings(
                    DEFAULT_SHARE, DEFAULT_ADDITIONAL_SHARE, DEFAULT_MAXIMUM_ADDITIONAL, DEFAULT_WINDOW_NANOS);
        }
    }

    private SlidingWindowRetryBudget(Settings settings, long nowNanos) {
        this.settings = settings;
        this.slotNanos = Math.max(1, settings.windowNanos() / SLOTS);
        this.currentSlot = slot(nowNanos);
    }

    /** Creates a budget without recorded attempts. */
    public static SlidingWindowRetryBudget create(Settings settings, long nowNanos) {
        return new SlidingWindowRetryBudget(settings, nowNanos);
    }

    /** Replaces the settings; the counts are kept if the window length is unchanged. */
    public void updateSettings(Settings newSettings, long nowNanos) {
        boolean sameWindow = newSettings.windowNanos() == settings.windowNanos();
        settings = newSettings;
        if (!sameWindow) {
            slotNanos = Math.max(1, newSettings.windowNanos() / SLOTS);
            currentSlot = slot(nowNanos);
            Arrays.fill(firstAttempts, 0);
            Arrays.fill(retries, 0);
        }
    }

    /** Records a first attempt. */
    public void recordFirstAttempt(long nowNanos) {
        advance(nowNanos);
        firstAttempts[index(currentSlot)]++;
    }

    /** Records a retry if the budget allows one; returns false otherwise. */
    public boolean tryRetry(long nowNanos) {
        if (availableRetries(nowNanos) < 1) {
            return false;
        }
        retries[index(currentSlot)]++;
        return true;
    }

    /** Returns the number of retries that are allowed now. */
    public double availableRetries(long nowNanos) {
        advance(nowNanos);
        double attempts = sum(firstAttempts);
        double additional =
                Math.min(settings.maximumAdditional(), settings.additionalShare() * attempts + MINIMUM_ADDITIONAL);
        return settings.share() * attempts + additional - sum(retries);
    }

    private void advance(long nowNanos) {
        long now = slot(nowNanos);
        long steps = Math.min(now - currentSlot, SLOTS + 1L);
        for (long step = 1; step <= steps; step++) {
            int cleared = index(now - steps + step);
            firstAttempts[cleared] = 0;
            retries[cleared] = 0;
        }
        currentSlot = Math.max(currentSlot, now);
    }

    private long slot(long nowNanos) {
        return Math.floorDiv(nowNanos, slotNanos);
    }

    private static int index(long slot) {
        return (int) Math.floorMod(slot, SLOTS + 1L);
    }

    private static long sum(long[] counts) {
        long total = 0;
        for (long count : counts) {
            total += count;
        }
        return total;
    }
}
