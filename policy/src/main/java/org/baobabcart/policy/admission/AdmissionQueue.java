package org.baobabcart.policy.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
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
    /** Ranks without work are kept for their statistics, up to this number of ranks. */
    private static final int MAX_KEPT_RANKS = 32;

    private final Settings settings;
    /** The ranks that have work or had some lately, the most urgent first. */
    private final NavigableMap<Integer, RankQueue<T>> ranks = new TreeMap<>();

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
        RankQueue<T> queue = queueOf(entry.rank());
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
            queue.addTimely(entry);
        } else {
            queue.addOverdue(entry);
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
        Optional<RankQueue<T>> queue = nextQueue();
        if (queue.isEmpty()) {
            return Optional.empty();
        }
        rate.recordDispatch(nowNanos);
        Optional<QueueEntry<T>> next = queue.get().poll(nowNanos);
        resetIfEmpty();
        return next;
    }

    /**
     * Requeues overdue entries behind timely ones, and removes and returns those that can no longer meet their
     * deadline.
     */
    public List<Rejection<T>> expire(long nowNanos) {
        List<Rejection<T>> expired = new ArrayList<>();
        for (RankQueue<T> queue : ranks.values()) {
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
        ranks.values().forEach(queue -> all.addAll(queue.removeIf(entry -> true)));
        resetIfEmpty();
        return all;
    }

    /** Removes and returns the entries that could still start after the given time. */
    public List<QueueEntry<T>> removeStartableAfter(long nanos) {
        List<QueueEntry<T>> taken = new ArrayList<>();
        ranks.values().forEach(queue -> taken.addAll(queue.removeIf(entry -> entry.latestStartNanos() > nanos)));
        resetIfEmpty();
        return taken;
    }

    /**
     * Removes and returns the entries whose target lies before the given time, the earliest at which they can start.
     */
    public List<QueueEntry<T>> removeTargetedBefore(long nanos) {
        List<QueueEntry<T>> taken = new ArrayList<>();
        ranks.values().forEach(queue -> taken.addAll(queue.removeIf(entry -> entry.targetNanos() < nanos)));
        resetIfEmpty();
        return taken;
    }

    /** Removes an item whose caller has disconnected. */
    public void remove(T item) {
        ranks.values().forEach(queue -> queue.removeIf(entry -> entry.item() == item));
        resetIfEmpty();
    }

    /** Returns the number of entries. */
    public int size() {
        return ranks.values().stream().mapToInt(RankQueue::size).sum();
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
        for (Map.Entry<Integer, RankQueue<T>> other : ranks.entrySet()) {
            int size = other.getValue().size();
            all += other.getKey() < rank ? size : 0;
            lessUrgentFloors += other.getKey() > rank && size > 0 ? floor(other.getKey()) : 0;
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
        for (RankQueue<T> queue : ranks.descendingMap().values()) {
            Optional<QueueEntry<T>> dropped = queue.dropFromLargestBacklog();
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

    private Optional<RankQueue<T>> nextQueue() {
        Optional<RankQueue<T>> mostUrgent = Optional.empty();
        Optional<RankQueue<T>> floorDue = Optional.empty();
        for (Map.Entry<Integer, RankQueue<T>> rank : ranks.entrySet()) {
            RankQueue<T> queue = rank.getValue();
            if (queue.size() == 0) {
                queue.setFloorCredit(0);
                continue;
            }
            queue.setFloorCredit(Math.min(CREDIT_LIMIT, queue.floorCredit() + floor(rank.getKey())));
            if (mostUrgent.isEmpty()) {
                mostUrgent = Optional.of(queue);
            }
            double highestCredit = floorDue.map(RankQueue::floorCredit).orElse(0.0);
            if (queue.floorCredit() >= 1 && queue.floorCredit() > highestCredit) {
                floorDue = Optional.of(queue);
            }
        }
        Optional<RankQueue<T>> chosen = floorDue.isPresent() ? floorDue : mostUrgent;
        chosen.ifPresent(queue -> queue.setFloorCredit(Math.max(0, queue.floorCredit() - 1)));
        return chosen;
    }

    private int countQueued(String workspace) {
        return ranks.values().stream().mapToInt(queue -> queue.size(workspace)).sum();
    }

    /** Returns the queue of a rank. Ranks are numbers from a configuration, so that only those in use have a queue. */
    private RankQueue<T> queueOf(int rank) {
        if (!ranks.containsKey(rank) && ranks.size() >= MAX_KEPT_RANKS) {
            ranks.values().removeIf(queue -> queue.size() == 0);
        }
        return ranks.computeIfAbsent(rank, ignored -> new RankQueue<>());
    }
}
