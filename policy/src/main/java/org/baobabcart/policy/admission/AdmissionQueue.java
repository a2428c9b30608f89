package org.baobabcart.policy.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.baobabcart.model.result.ResultCode;

/**
 * Work that waits for an upstream, in bounded room.
 *
 * <p>The most urgent rank goes first, but each lower rank keeps its floor, the share of dispatches that it gets while it
 * has work waiting. Within a rank workspaces share by weight. When the room is full, the workspace with the longest
 * backlog for its weight in the least urgent rank loses its newest work, the newcomer's included (longest queue drop,
 * Suter and others, 1999). Work that cannot start in time is refused as soon as that is seen. Not thread-safe.
 *
 * @param <T> the type of what is started
 */
public final class AdmissionQueue<T> {
    private static final double CREDIT_LIMIT = 2;

    private final Settings settings;
    private final List<FairQueue<T>> ranks = new ArrayList<>();
    private final List<Double> credits = new ArrayList<>();
    private final DispatchRate rate = new DispatchRate();

    /**
     * Bounds of a queue.
     *
     * @param capacity the most entries
     * @param capacityPerWorkspace the most entries of one workspace
     */
    public record Settings(int capacity, int capacityPerWorkspace) {}

    private AdmissionQueue(Settings settings) {
        this.settings = settings;
    }

    /** An empty queue. */
    public static <T> AdmissionQueue<T> create(Settings settings) {
        return new AdmissionQueue<>(settings);
    }

    /** Adds work; returns what is refused for it, which may be the work itself. */
    public List<Rejection<T>> offer(Entry<T> entry, long nowNanos) {
        reach(entry.rank());
        Duration wait = expectedWait(entry.rank(), entry.workspace());
        if (nowNanos + wait.toNanos() > entry.latestStartNanos()) {
            return List.of(new Rejection<>(entry, ResultCode.DEADLINE_UNREACHABLE, wait));
        }
        if (waiting(entry.workspace()) >= settings.capacityPerWorkspace()) {
            return List.of(new Rejection<>(entry, ResultCode.QUEUE_FULL, wait));
        }
        ranks.get(entry.rank()).add(entry);
        if (size() <= settings.capacity()) {
            return List.of();
        }
        return drop(entry, wait);
    }

    /**
     * Takes the entry that goes next.
     *
     * @param floors the floor of each rank, from 0 to 1, the most urgent rank first
     */
    public Optional<Entry<T>> poll(List<Double> floors, long nowNanos) {
        int rank = nextRank(floors);
        if (rank < 0) {
            return Optional.empty();
        }
        rate.dispatched(nowNanos);
        Optional<Entry<T>> next = ranks.get(rank).poll();
        if (size() == 0) {
            rate.idle();
        }
        return next;
    }

    /** Takes out what cannot start in time any more. */
    public List<Rejection<T>> expire(long nowNanos) {
        List<Rejection<T>> expired = new ArrayList<>();
        for (FairQueue<T> queue : ranks) {
            queue.removeIf(entry -> nowNanos > entry.latestStartNanos())
                    .forEach(entry -> expired.add(new Rejection<>(
                            entry, ResultCode.DEADLINE_UNREACHABLE, expectedWait(entry.rank(), entry.workspace()))));
        }
        return expired;
    }

    /** Takes out everything, for upstreams that are gone. */
    public List<Entry<T>> clear() {
        List<Entry<T>> all = new ArrayList<>();
        ranks.forEach(queue -> all.addAll(queue.removeIf(entry -> true)));
        return all;
    }

    /** Takes out one item, whose caller is gone. */
    public void remove(T item) {
        ranks.forEach(queue -> queue.removeIf(entry -> entry.item() == item));
    }

    /** The number of entries. */
    public int size() {
        return ranks.stream().mapToInt(FairQueue::size).sum();
    }

    private Duration expectedWait(int rank, String workspace) {
        int ahead = ranks.get(rank).ahead(workspace);
        for (int index = 0; index < rank; index++) {
            ahead += ranks.get(index).size();
        }
        return rate.timeFor(ahead);
    }

    private List<Rejection<T>> drop(Entry<T> newcomer, Duration wait) {
        for (int rank = ranks.size() - 1; rank >= 0; rank--) {
            Optional<Entry<T>> dropped = ranks.get(rank).dropFromLongest();
            if (dropped.isPresent()) {
                boolean sameRank = dropped.get().rank() == newcomer.rank();
                ResultCode code = sameRank ? ResultCode.QUEUE_FULL : ResultCode.RANK_SHED;
                return List.of(new Rejection<>(dropped.get(), code, wait));
            }
        }
        return List.of();
    }

    private int nextRank(List<Double> floors) {
        int mostUrgent = -1;
        int owed = -1;
        for (int rank = 0; rank < ranks.size(); rank++) {
            if (ranks.get(rank).size() == 0) {
                credits.set(rank, 0.0);
                continue;
            }
            double floor = rank < floors.size() ? floors.get(rank) : 0;
            credits.set(rank, Math.min(CREDIT_LIMIT, credits.get(rank) + floor));
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
            ranks.add(new FairQueue<>());
            credits.add(0.0);
        }
    }
}
