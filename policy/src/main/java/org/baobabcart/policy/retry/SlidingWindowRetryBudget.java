package org.baobabcart.policy.retry;

import java.util.Arrays;

/**
 * Limits repeats to a share of first tries within a sliding window. Not thread-safe.
 *
 * <p>The load that it answers: many streams break at one moment, when a data centre is cut off, and each needs one repeat. A
 * token bucket would have to be as large as that burst; a window lets them all pass as long as the repeats of its whole length
 * stay below the share. Counts are kept in slots of time, of which one more than the window is counted for repeats, so that no
 * span of the window's length holds more of them than is allowed.
 *
 * <p>Many budgets share one limit of {@code ratio} times all first tries and a slack. As long as {@code share} and {@code spare}
 * are its ratio together, all budgets allow at most that and one repeat each, however many they are.
 */
public final class SlidingWindowRetryBudget {
    private static final int SLOTS = 20;
    /** A budget that has seen next to nothing allows one repeat, so that a rare request can be repeated at all. */
    private static final double ONE = 1;

    private Settings settings;
    private long slotNanos;
    private final long[] firstTries = new long[SLOTS + 1];
    private final long[] repeats = new long[SLOTS + 1];
    private long currentSlot;

    /**
     * Configuration of a budget.
     *
     * @param share repeats allowed for each first try
     * @param spare repeats allowed for each first try beyond that, as far as the allowance goes
     * @param allowance the most repeats in a window beyond the share
     * @param windowNanos the length of the window
     */
    public record Settings(double share, double spare, double allowance, long windowNanos) {
        private static final double DEFAULT_SHARE = 0.1;
        private static final double DEFAULT_SPARE = 0.1;
        private static final double DEFAULT_ALLOWANCE = 10;
        private static final long DEFAULT_WINDOW_NANOS = 10_000_000_000L;

        /** Settings for ordinary use. */
        public static Settings defaults() {
            return new Settings(DEFAULT_SHARE, DEFAULT_SPARE, DEFAULT_ALLOWANCE, DEFAULT_WINDOW_NANOS);
        }
    }

    private SlidingWindowRetryBudget(Settings settings, long nowNanos) {
        this.settings = settings;
        this.slotNanos = Math.max(1, settings.windowNanos() / SLOTS);
        this.currentSlot = slot(nowNanos);
    }

    /** A budget that has seen nothing. */
    public static SlidingWindowRetryBudget create(Settings settings, long nowNanos) {
        return new SlidingWindowRetryBudget(settings, nowNanos);
    }

    /** Takes other settings over; what was counted stays where the window has the same length. */
    public void use(Settings newSettings, long nowNanos) {
        boolean sameWindow = newSettings.windowNanos() == settings.windowNanos();
        settings = newSettings;
        if (!sameWindow) {
            slotNanos = Math.max(1, newSettings.windowNanos() / SLOTS);
            currentSlot = slot(nowNanos);
            Arrays.fill(firstTries, 0);
            Arrays.fill(repeats, 0);
        }
    }

    /** Counts a first try. */
    public void firstTry(long nowNanos) {
        advance(nowNanos);
        firstTries[index(currentSlot)]++;
    }

    /** Takes the right to a repeat; false where there is none. */
    public boolean tryRepeat(long nowNanos) {
        if (left(nowNanos) < 1) {
            return false;
        }
        repeats[index(currentSlot)]++;
        return true;
    }

    /** The repeats that are allowed now. */
    public double left(long nowNanos) {
        advance(nowNanos);
        double tries = sum(firstTries);
        double beyond = Math.min(settings.allowance(), settings.spare() * tries + ONE);
        return settings.share() * tries + beyond - sum(repeats);
    }

    private void advance(long nowNanos) {
        long now = slot(nowNanos);
        long steps = Math.min(now - currentSlot, SLOTS + 1L);
        for (long step = 1; step <= steps; step++) {
            int cleared = index(now - steps + step);
            firstTries[cleared] = 0;
            repeats[cleared] = 0;
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
