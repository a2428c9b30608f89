package org.baobabcart.policy.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.baobabcart.model.result.ResultCode;

/**
 * Work that waits for an upstream, in bounded room.
 *
 * <p>The most urgent rank goes first, but each lower rank keeps its floor, the share of dispatches that it gets while it
 * has work waiting. Within a rank work that can start within the rank's target goes before overdue work, which keeps a
 * share; in both workspaces share by weight. When the room is full, the workspace with the longest backlog for its weight in the
 * least urgent rank loses its newest work, the newcomer's included (longest queue drop, Suter and others, 1999). Work that cannot
 * start by its deadline is refused as soon as that is seen, with a time to come back of its own. Not thread-safe.
 *
 * @param <T> the type of what is started
 */
public final class AdmissionQueue<T> {
    private static final double CREDIT_LIMIT = 2;

    private final Settings settings;
    private final List<RankQueue<T>> ranks = new ArrayList<>();
    private final List<Double> credits = new ArrayList<>();
    private final DispatchRateEstimator rate = new DispatchRateEstimator();
    private final RetryAfterSchedule calendar;
    private List<Double> floors = List.of();

    /**
     * Bounds of a queue.
     *
     * @param capacity the most entries
     * @param capacityPerWorkspace the most entries of one workspace
     */
    public record Settings(int capacity, int capacityPerWorkspace) {}

    private AdmissionQueue(Settings settings, DoubleSupplier random) {
        this.settings = settings;
        this.calendar = new RetryAfterSchedule(random);
    }

    /**
     * An empty queue.
     *
     * @param random numbers between 0 and 1, by which times to come back are spread
     */
    public static <T> AdmissionQueue<T> create(Settings settings, DoubleSupplier random) {
        return new AdmissionQueue<>(settings, random);
    }

    /** Adds work; returns what is refused for it, which may be the work itself. */
    public List<Rejection<T>> offer(Entry<T> entry, long nowNanos) {
        reach(entry.rank());
        Duration wait = timelyWait(entry, nowNanos);
        boolean timely = nowNanos + wait.toNanos() <= entry.targetNanos();
        if (!timely) {
            wait = overdueWait(entry, nowNanos);
        }
        if (nowNanos + wait.toNanos() > entry.latestStartNanos()) {
            return List.of(reject(entry, ResultCode.DEADLINE_UNREACHABLE, nowNanos));
        }
        if (waiting(entry.workspace()) >= settings.capacityPerWorkspace()) {
            return List.of(reject(entry, ResultCode.QUEUE_FULL, nowNanos));
        }
        if (timely) {
            ranks.get(entry.rank()).addTimely(entry);
        } else {
            ranks.get(entry.rank()).addOverdue(entry);
        }
        return size() <= settings.capacity() ? List.of() : drop(entry, nowNanos);
    }

    /**
     * Takes the entry that goes next.
     *
     * @param newFloors the floor of each rank, from 0 to 1, the most urgent rank first
     */
    public Optional<Entry<T>> poll(List<Double> newFloors, long nowNanos) {
        floors = newFloors;
        int rank = nextRank();
        if (rank < 0) {
            return Optional.empty();
        }
        rate.dispatched(nowNanos);
        Optional<Entry<T>> next = ranks.get(rank).poll(nowNanos);
        noteEmpty();
        return next;
    }

    /** Moves what is overdue behind what is timely, and takes out what cannot start by its deadline any more. */
    public List<Rejection<T>> expire(long nowNanos) {
        List<Rejection<T>> expired = new ArrayList<>();
        for (RankQueue<T> queue : ranks) {
            queue.removeIf(entry -> nowNanos > entry.latestStartNanos())
                    .forEach(entry -> expired.add(reject(entry, ResultCode.DEADLINE_UNREACHABLE, nowNanos)));
            for (Entry<T> late : queue.takeLate(nowNanos)) {
                if (nowNanos + overdueWait(late, nowNanos).toNanos() > late.latestStartNanos()) {
                    expired.add(reject(late, ResultCode.DEADLINE_UNREACHABLE, nowNanos));
                } else {
                    queue.addOverdue(late);
                }
            }
        }
        noteEmpty();
        return expired;
    }

    /** Takes out everything, for upstreams that are gone. */
    public List<Entry<T>> clear() {
        List<Entry<T>> all = new ArrayList<>();
        ranks.forEach(queue -> all.addAll(queue.removeIf(entry -> true)));
        noteEmpty();
        return all;
    }

    /** Takes out what would be of use if it started later than this time. */
    public List<Entry<T>> takeStartingAfter(long nanos) {
        List<Entry<T>> taken = new ArrayList<>();
        ranks.forEach(queue -> taken.addAll(queue.removeIf(entry -> entry.latestStartNanos() > nanos)));
        noteEmpty();
        return taken;
    }

    /** Takes out what should have started before this time, at which it can start at the earliest. */
    public List<Entry<T>> takeDueBefore(long nanos) {
        List<Entry<T>> taken = new ArrayList<>();
        ranks.forEach(queue -> taken.addAll(queue.removeIf(entry -> entry.targetNanos() < nanos)));
        noteEmpty();
        return taken;
    }

    /** Takes out one item, whose caller is gone. */
    public void remove(T item) {
        ranks.forEach(queue -> queue.removeIf(entry -> entry.item() == item));
        noteEmpty();
    }

    /** The number of entries. */
    public int size() {
        return ranks.stream().mapToInt(RankQueue::size).sum();
    }

    private Duration timelyWait(Entry<T> entry, long nowNanos) {
        double own = ranks.get(entry.rank()).aheadOfTimely(entry.workspace());
        return rate.timeFor(ahead(entry.rank(), own), nowNanos);
    }

    private Duration overdueWait(Entry<T> entry, long nowNanos) {
        RankQueue<T> queue = ranks.get(entry.rank());
        double own = queue.aheadOfOverdue(entry.workspace());
        Duration byAll = rate.timeFor(ahead(entry.rank(), own), nowNanos);
        Duration byOverdue = queue.overdueWait(entry.workspace(), nowNanos);
        return byAll.compareTo(byOverdue) > 0 ? byAll : byOverdue;
    }

    /** The dispatches before an entry that has so many of its own rank before it. */
    private double ahead(int rank, double own) {
        double all = own;
        double below = 0;
        for (int index = 0; index < ranks.size(); index++) {
            int size = ranks.get(index).size();
            all += index < rank ? size : 0;
            below += index > rank && size > 0 ? floor(index) : 0;
        }
        double strict = below < 1 ? all / (1 - below) : Double.MAX_VALUE;
        return floor(rank) > 0 ? Math.min(strict, (own + 1) / floor(rank)) : strict;
    }

    private double floor(int rank) {
        return rank < floors.size() ? floors.get(rank) : 0;
    }

    private Rejection<T> reject(Entry<T> entry, ResultCode code, long nowNanos) {
        Duration wait = overdueWait(entry, nowNanos);
        return new Rejection<>(entry, code, calendar.next(entry, wait, rate.gapNanos(nowNanos), nowNanos));
    }

    private List<Rejection<T>> drop(Entry<T> newcomer, long nowNanos) {
        for (int rank = ranks.size() - 1; rank >= 0; rank--) {
            Optional<Entry<T>> dropped = ranks.get(rank).dropFromLongest();
            if (dropped.isPresent()) {
                boolean sameRank = dropped.get().rank() == newcomer.rank();
                ResultCode code = sameRank ? ResultCode.QUEUE_FULL : ResultCode.RANK_SHED;
                return List.of(reject(dropped.get(), code, nowNanos));
            }
        }
        return List.of();
    }

    private void noteEmpty() {
        if (size() == 0) {
            rate.idle();
        }
    }

    private int nextRank() {
        int mostUrgent = -1;
        int owed = -1;
        for (int rank = 0; rank < ranks.size(); rank++) {
            if (ranks.get(rank).size() == 0) {
                credits.set(rank, 0.0);
                continue;
            }
            credits.set(rank, Math.min(CREDIT_LIMIT, credits.get(rank) + floor(rank)));
            mostUrgent = mostUrgent < 0 ? rank : mostUrgent;
            if (credits.get(rank) >= 1 && (owed < 0 || credits.get(rank) > credits.get(owed))) {
                owed = rank;
            }
        }
        int chosen = owed >= 0 ? owed : mostUrgent;
        if (chosen >= 0) {
            credits.set(chosen, Math.max(0, credits.get(chosen) - 1));
        }
        return chosen;
    }

    private int waiting(String workspace) {
        return ranks.stream().mapToInt(queue -> queue.size(workspace)).sum();
    }

    private void reach(int rank) {
        while (ranks.size() <= rank) {
            ranks.add(new RankQueue<>());
            credits.add(0.0);
        }
    }
}
