package org.baobabcart.policy.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.baobabcart.model.result.ResultCode;

/**
 * Bounded queue of work that waits for an upstream.
 *
 * <p>The most urgent rank is dispatched first, but each rank is guaranteed its floor: a share of dispatches while it
 * has queued work. Within a rank, work that can still start within the rank's target goes before overdue work, which
 * is guaranteed a share; within both classes workspaces share by weight. When the queue is full, the newest entry of
 * the workspace with the largest backlog relative to its weight in the least urgent rank is dropped, which may be the
 * entry that has just arrived (longest queue drop, Suter and others, 1999). Work that can't start by its deadline is
 * refused as soon as that is known, with a Retry-After time of its own. Not thread-safe.
 *
 * @param <T> the type of the work
 */
public final class AdmissionQueue<T> {
    private static final double CREDIT_LIMIT = 2;

    private final Settings settings;
    private final List<RankQueue<T>> ranks = new ArrayList<>();
    private final List<Double> floorCredits = new ArrayList<>();
    private final DispatchRateEstimator rate = new DispatchRateEstimator();
    private final RetryAfterSchedule retryAfterSchedule;
    private List<Double> floors = List.of();

    /**
     * Capacity limits of a queue.
     *
     * @param capacity the maximum number of entries
     * @param capacityPerWorkspace the maximum number of entries of one workspace
     */
    public record Settings(int capacity, int capacityPerWorkspace) {}

    private AdmissionQueue(Settings settings, DoubleSupplier random) {
        this.settings = settings;
        this.retryAfterSchedule = new RetryAfterSchedule(random);
    }

    /**
     * Creates an empty queue.
     *
     * @param random random numbers between 0 and 1, used as jitter of Retry-After times
     */
    public static <T> AdmissionQueue<T> create(Settings settings, DoubleSupplier random) {
        return new AdmissionQueue<>(settings, random);
    }

    /** Adds an entry and returns the entries that are refused as a result, possibly including the new one. */
    public List<Rejection<T>> offer(QueueEntry<T> entry, long nowNanos) {
        addRanksUpTo(entry.rank());
        Duration wait = timelyWait(entry, nowNanos);
        boolean timely = nowNanos + wait.toNanos() <= entry.targetNanos();
        if (!timely) {
            wait = overdueWait(entry, nowNanos);
        }
        if (nowNanos + wait.toNanos() > entry.latestStartNanos()) {
            return List.of(reject(entry, ResultCode.DEADLINE_UNREACHABLE, nowNanos));
        }
        if (countQueued(entry.workspace()) >= settings.capacityPerWorkspace()) {
            return List.of(reject(entry, ResultCode.QUEUE_FULL, nowNanos));
        }
        if (timely) {
            ranks.get(entry.rank()).addTimely(entry);
        } else {
            ranks.get(entry.rank()).addOverdue(entry);
        }
        return size() <= settings.capacity() ? List.of() : dropNewest(entry, nowNanos);
    }

    /**
     * Removes and returns the entry to dispatch next.
     *
     * @param newFloors the floor of each rank, from 0 to 1, the most urgent rank first
     */
    public Optional<QueueEntry<T>> poll(List<Double> newFloors, long nowNanos) {
        floors = newFloors;
        int rank = nextRank();
        if (rank < 0) {
            return Optional.empty();
        }
        rate.recordDispatch(nowNanos);
        Optional<QueueEntry<T>> next = ranks.get(rank).poll(nowNanos);
        resetIfEmpty();
        return next;
    }

    /**
     * Requeues overdue entries behind timely ones, and removes and returns those that can no longer meet their
     * deadline.
     */
    public List<Rejection<T>> expire(long nowNanos) {
        List<Rejection<T>> expired = new ArrayList<>();
        for (RankQueue<T> queue : ranks) {
            queue.removeIf(entry -> nowNanos > entry.latestStartNanos())
                    .forEach(entry -> expired.add(reject(entry, ResultCode.DEADLINE_UNREACHABLE, nowNanos)));
            for (QueueEntry<T> overdue : queue.removeOverdue(nowNanos)) {
                if (nowNanos + overdueWait(overdue, nowNanos).toNanos() > overdue.latestStartNanos()) {
                    expired.add(reject(overdue, ResultCode.DEADLINE_UNREACHABLE, nowNanos));
                } else {
                    queue.addOverdue(overdue);
                }
            }
        }
        resetIfEmpty();
        return expired;
    }

    /** Removes and returns all entries, for use when the upstreams are gone. */
    public List<QueueEntry<T>> clear() {
        List<QueueEntry<T>> all = new ArrayList<>();
        ranks.forEach(queue -> all.addAll(queue.removeIf(entry -> true)));
        resetIfEmpty();
        return all;
    }

    /** Removes and returns the entries that could still start after the given time. */
    public List<QueueEntry<T>> removeStartableAfter(long nanos) {
        List<QueueEntry<T>> taken = new ArrayList<>();
        ranks.forEach(queue -> taken.addAll(queue.removeIf(entry -> entry.latestStartNanos() > nanos)));
        resetIfEmpty();
        return taken;
    }

    /**
     * Removes and returns the entries whose target lies before the given time, the earliest at which they can start.
     */
    public List<QueueEntry<T>> removeTargetedBefore(long nanos) {
        List<QueueEntry<T>> taken = new ArrayList<>();
        ranks.forEach(queue -> taken.addAll(queue.removeIf(entry -> entry.targetNanos() < nanos)));
        resetIfEmpty();
        return taken;
    }

    /** Removes an item whose caller has disconnected. */
    public void remove(T item) {
        ranks.forEach(queue -> queue.removeIf(entry -> entry.item() == item));
        resetIfEmpty();
    }

    /** Returns the number of entries. */
    public int size() {
        return ranks.stream().mapToInt(RankQueue::size).sum();
    }

    private Duration timelyWait(QueueEntry<T> entry, long nowNanos) {
        double ownRankAhead = ranks.get(entry.rank()).countAheadOfTimely(entry.workspace());
        return rate.timeFor(countAhead(entry.rank(), ownRankAhead), nowNanos);
    }

    private Duration overdueWait(QueueEntry<T> entry, long nowNanos) {
        RankQueue<T> queue = ranks.get(entry.rank());
        double ownRankAhead = queue.countAheadOfOverdue(entry.workspace());
        Duration byAll = rate.timeFor(countAhead(entry.rank(), ownRankAhead), nowNanos);
        Duration byOverdue = queue.overdueWait(entry.workspace(), nowNanos);
        return byAll.compareTo(byOverdue) > 0 ? byAll : byOverdue;
    }

    /** Returns the number of dispatches before an entry, given the number of entries of its own rank before it. */
    private double countAhead(int rank, double ownRankAhead) {
        double all = ownRankAhead;
        double lessUrgentFloors = 0;
        for (int index = 0; index < ranks.size(); index++) {
            int size = ranks.get(index).size();
            all += index < rank ? size : 0;
            lessUrgentFloors += index > rank && size > 0 ? floor(index) : 0;
        }
        double strict = lessUrgentFloors < 1 ? all / (1 - lessUrgentFloors) : Double.MAX_VALUE;
        return floor(rank) > 0 ? Math.min(strict, (ownRankAhead + 1) / floor(rank)) : strict;
    }

    private double floor(int rank) {
        return rank < floors.size() ? floors.get(rank) : 0;
    }

    private Rejection<T> reject(QueueEntry<T> entry, ResultCode code, long nowNanos) {
        Duration wait = overdueWait(entry, nowNanos);
        return new Rejection<>(entry, code, retryAfterSchedule.next(entry, wait, rate.gapNanos(nowNanos), nowNanos));
    }

    private List<Rejection<T>> dropNewest(QueueEntry<T> arrived, long nowNanos) {
        for (int rank = ranks.size() - 1; rank >= 0; rank--) {
            Optional<QueueEntry<T>> dropped = ranks.get(rank).dropFromLargestBacklog();
            if (dropped.isPresent()) {
                boolean sameRank = dropped.get().rank() == arrived.rank();
                ResultCode code = sameRank ? ResultCode.QUEUE_FULL : ResultCode.RANK_SHED;
                return List.of(reject(dropped.get(), code, nowNanos));
            }
        }
        return List.of();
    }

    private void resetIfEmpty() {
        if (size() == 0) {
            rate.recordEmptyQueue();
        }
    }

    private int nextRank() {
        int mostUrgent = -1;
        int floorDue = -1;
        for (int rank = 0; rank < ranks.size(); rank++) {
            if (ranks.get(rank).size() == 0) {
                floorCredits.set(rank, 0.0);
                continue;
            }
            floorCredits.set(rank, Math.min(CREDIT_LIMIT, floorCredits.get(rank) + floor(rank)));
            mostUrgent = mostUrgent < 0 ? rank : mostUrgent;
            if (floorCredits.get(rank) >= 1 && (floorDue < 0 || floorCredits.get(rank) > floorCredits.get(floorDue))) {
                floorDue = rank;
            }
        }
        int chosen = floorDue >= 0 ? floorDue : mostUrgent;
        if (chosen >= 0) {
            floorCredits.set(chosen, Math.max(0, floorCredits.get(chosen) - 1));
        }
        return chosen;
    }

    private int countQueued(String workspace) {
        return ranks.stream().mapToInt(queue -> queue.size(workspace)).sum();
    }

    private void addRanksUpTo(int rank) {
        while (ranks.size() <= rank) {
            ranks.add(new RankQueue<>());
            floorCredits.add(0.0);
        }
    }
}
