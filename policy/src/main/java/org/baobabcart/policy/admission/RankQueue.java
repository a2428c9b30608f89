package org.baobabcart.policy.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Waiting work of one rank in two classes, each fair among workspaces: timely work, which can still start as the rank
 * promises, and overdue work behind it, which keeps a share of the rank's dispatches once its target has passed. Not thread-safe.
 */
final class RankQueue<T> {
    private static final double OVERDUE_SHARE = 0.25;
    private static final double CREDIT_LIMIT = 2;

    private final FairQueue<T> timely = new FairQueue<>();
    private final FairQueue<T> overdue = new FairQueue<>();
    private final DispatchRateEstimator overdueRate = new DispatchRateEstimator();
    private double overdueCredit;

    void addTimely(Entry<T> entry) {
        timely.add(entry);
    }

    void addOverdue(Entry<T> entry) {
        overdue.add(entry);
    }

    Optional<Entry<T>> poll(long nowNanos) {
        if (!takesOverdue(nowNanos)) {
            return timely.poll();
        }
        overdueCredit = Math.max(0, overdueCredit - 1);
        overdueRate.dispatched(nowNanos);
        Optional<Entry<T>> next = overdue.poll();
        noteEmpty();
        return next;
    }

    /** Takes out timely work that its rank's promise has passed, the oldest first in each workspace. */
    List<Entry<T>> takeLate(long nowNanos) {
        return timely.removeIf(entry -> nowNanos > entry.targetNanos());
    }

    List<Entry<T>> removeIf(Predicate<Entry<T>> condition) {
        List<Entry<T>> removed = new ArrayList<>(timely.removeIf(condition));
        removed.addAll(overdue.removeIf(condition));
        noteEmpty();
        return removed;
    }

    /** Takes out the newest entry of the workspace that has most waiting for its weight in one of the classes. */
    Optional<Entry<T>> dropFromLongest() {
        if (overdue.longestBacklog() < timely.longestBacklog()) {
            return timely.dropFromLongest();
        }
        Optional<Entry<T>> dropped = overdue.dropFromLongest();
        noteEmpty();
        return dropped;
    }

    /** The dispatches of this rank before a new timely entry of a workspace. */
    double aheadOfTimely(String workspace) {
        double ahead = timely.ahead(workspace);
        return overdue.size() == 0 ? ahead : ahead / (1 - OVERDUE_SHARE);
    }

    /** The dispatches of this rank before a new overdue entry of a workspace, if no more timely work comes. */
    double aheadOfOverdue(String workspace) {
        return timely.size() + overdue.ahead(workspace);
    }

    /** The time in which the overdue work before a new entry is dispatched at the pace of late, newer timely work included. */
    Duration overdueWait(String workspace, long nowNanos) {
        return overdueRate.timeFor(overdue.ahead(workspace), nowNanos);
    }

    int size() {
        return timely.size() + overdue.size();
    }

    int size(String workspace) {
        return timely.size(workspace) + overdue.size(workspace);
    }

    private boolean takesOverdue(long nowNanos) {
        if (overdue.size() == 0) {
            return false;
        }
        if (timely.size() == 0) {
            return true;
        }
        if (overdue.peek().filter(entry -> nowNanos > entry.targetNanos()).isEmpty()) {
            return false;
        }
        overdueCredit = Math.min(CREDIT_LIMIT, overdueCredit + OVERDUE_SHARE);
        return overdueCredit >= 1;
    }

    private void noteEmpty() {
        if (overdue.size() == 0) {
            overdueRate.idle();
            overdueCredit = 0;
        }
    }
}
