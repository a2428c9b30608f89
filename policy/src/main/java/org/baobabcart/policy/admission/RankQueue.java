package org.baobabcart.policy.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Queue of one rank with two classes, each shared fairly among workspaces.
 *
 * <p>Timely work can still start within the rank's target and goes first. Overdue work can't, but gets a share of the
 * rank's dispatches once its target has passed. Not thread-safe.
 */
final class RankQueue<T> {
    private static final double OVERDUE_SHARE = 0.25;
    private static final double CREDIT_LIMIT = 2;

    private final FairQueue<T> timely = new FairQueue<>();
    private final FairQueue<T> overdue = new FairQueue<>();
    private final DispatchRateEstimator overdueRate = new DispatchRateEstimator();
    private double overdueCredit;
    private double floorCredit;

    /** Returns the dispatches that this rank is due because of its floor. */
    double floorCredit() {
        return floorCredit;
    }

    void setFloorCredit(double newFloorCredit) {
        floorCredit = newFloorCredit;
    }

    void addTimely(QueueEntry<T> entry) {
        timely.add(entry);
    }

    void addOverdue(QueueEntry<T> entry) {
        overdue.add(entry);
    }

    Optional<QueueEntry<T>> poll(long nowNanos) {
        if (!isOverdueNext(nowNanos)) {
            return timely.poll();
        }
        overdueCredit = Math.max(0, overdueCredit - 1);
        overdueRate.recordDispatch(nowNanos);
        Optional<QueueEntry<T>> next = overdue.poll();
        resetIfEmpty();
        return next;
    }

    /** Removes timely work whose target has passed, the oldest first in each workspace. */
    List<QueueEntry<T>> removeOverdue(long nowNanos) {
        return timely.removeIf(entry -> nowNanos > entry.targetNanos());
    }

    List<QueueEntry<T>> removeIf(Predicate<QueueEntry<T>> condition) {
        List<QueueEntry<T>> removed = new ArrayList<>(timely.removeIf(condition));
        removed.addAll(overdue.removeIf(condition));
        resetIfEmpty();
        return removed;
    }

    /** Removes the newest entry of the workspace with the largest backlog relative to its weight in either class. */
    Optional<QueueEntry<T>> dropFromLargestBacklog() {
        if (overdue.largestBacklog() < timely.largestBacklog()) {
            return timely.dropFromLargestBacklog();
        }
        Optional<QueueEntry<T>> dropped = overdue.dropFromLargestBacklog();
        resetIfEmpty();
        return dropped;
    }

    /** Returns the number of dispatches of this rank before a new timely entry of a workspace. */
    double countAheadOfTimely(String workspace) {
        double ahead = timely.countAhead(workspace);
        return overdue.size() == 0 ? ahead : ahead / (1 - OVERDUE_SHARE);
    }

    /**
     * Returns the number of dispatches of this rank before a new overdue entry, assuming that no timely work arrives.
     */
    double countAheadOfOverdue(String workspace) {
        return timely.size() + overdue.countAhead(workspace);
    }

    /**
     * Returns the time until the overdue work before a new entry has been dispatched, at the recent dispatch rate of
     * overdue work, which includes the effect of newer timely work.
     */
    Duration overdueWait(String workspace, long nowNanos) {
        return overdueRate.timeFor(overdue.countAhead(workspace), nowNanos);
    }

    int size() {
        return timely.size() + overdue.size();
    }

    int size(String workspace) {
        return timely.size(workspace) + overdue.size(workspace);
    }

    private boolean isOverdueNext(long nowNanos) {
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

    private void resetIfEmpty() {
        if (overdue.size() == 0) {
            overdueRate.recordEmptyQueue();
            overdueCredit = 0;
        }
    }
}
