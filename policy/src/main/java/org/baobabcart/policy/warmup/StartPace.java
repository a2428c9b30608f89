package org.baobabcart.policy.warmup;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Counts what one owner sends to one cold upstream. Not thread-safe.
 *
 * <p>Every sliding {@link #WINDOW} holds at most {@link StartBudget#maxPerWindow()} requests, and longer times no more than the rate allows beyond
 * that.
 */
public final class StartPace {
    /** The time in which the bound counts requests. */
    public static final Duration WINDOW = Duration.ofSeconds(1);

    /** Slower rates are kept as one request in this time. */
    private static final Duration MAX_INTERVAL = Duration.ofHours(1);

    private final StartBudget budget;
    private final long intervalNanos;
    private final Deque<Long> counted = new ArrayDeque<>();
    /** When the rate has caught up with the requests so far. */
    private long dueNanos;

    private StartPace(StartBudget budget, long nowNanos) {
        this.budget = budget;
        this.intervalNanos = budget.perSecond() > 0
                ? (long) Math.min(MAX_INTERVAL.toNanos(), WINDOW.toNanos() / budget.perSecond())
                : 0;
        this.dueNanos = nowNanos;
    }

    /** Creates a pace without requests. */
    public static StartPace create(StartBudget budget, long nowNanos) {
        return new StartPace(budget, nowNanos);
    }

    /** Returns the budget that the pace keeps. */
    public StartBudget budget() {
        return budget;
    }

    /** Returns when the next request may be sent, which is not after now if one may be sent now; the maximum value for never. */
    public long nextNanos(long nowNanos) {
        if (budget.maxPerWindow() == 0 || intervalNanos == 0) {
            return Long.MAX_VALUE;
        }
        removeOld(nowNanos);
        long byRate = dueNanos - (budget.maxPerWindow() - 1) * intervalNanos;
        if (counted.size() < budget.maxPerWindow()) {
            return byRate;
        }
        long byWindow = counted.peekFirst() + WINDOW.toNanos();
        return byWindow - byRate > 0 ? byWindow : byRate;
    }

    /** Counts a request; returns whether it may be sent. */
    public boolean tryTake(long nowNanos) {
        long next = nextNanos(nowNanos);
        if (next == Long.MAX_VALUE || next - nowNanos > 0) {
            return false;
        }
        counted.addLast(nowNanos);
        dueNanos = (dueNanos - nowNanos > 0 ? dueNanos : nowNanos) + intervalNanos;
        return true;
    }

    /**
     * Counts a request at the time at which it is sent instead of the time at which it was allowed; returns whether it may be sent. After a pause
     * several requests that were allowed at different times would otherwise be sent at once.
     *
     * @param grantedNanos a time since {@link #tryTake} has counted it, and before the next request was counted
     */
    public boolean confirm(long grantedNanos, long nowNanos) {
        removeLast(grantedNanos);
        removeOld(nowNanos);
        if (counted.size() >= budget.maxPerWindow()) {
            return false;
        }
        counted.addLast(nowNanos);
        return true;
    }

    private void removeLast(long grantedNanos) {
        for (Iterator<Long> latest = counted.descendingIterator(); latest.hasNext(); ) {
            if (latest.next() - grantedNanos <= 0) {
                latest.remove();
                return;
            }
        }
    }

    private void removeOld(long nowNanos) {
        while (!counted.isEmpty() && nowNanos - counted.peekFirst() >= WINDOW.toNanos()) {
            counted.removeFirst();
        }
    }
}
