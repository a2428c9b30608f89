package org.baobabcart.policy.admission;

import java.time.Duration;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;

/**
 * Assigns Retry-After times to refused callers, so that their retries arrive at the dispatch rate.
 *
 * <p>Uses virtual scheduling of the generic cell rate algorithm (ITU-T I.371) for each workspace in each rank: the next
 * slot lies one gap after the last assigned one. The gap is the time between two dispatches divided by the workspace's
 * share of weight among all workspaces with future slots in the same or a more urgent rank. Slots reserve no capacity,
 * so an unused slot costs nothing. Workspaces whose last slot has passed are removed. Not thread-safe.
 */
final class RetryAfterSchedule {
    private static final double DEFAULT_GAP_NANOS = Duration.ofMillis(100).toNanos();
    private static final long MAXIMUM_DELAY_NANOS = Duration.ofMinutes(10).toNanos();
    private static final double JITTER_SHARE = 0.5;

    private final Map<Integer, Map<String, LastSlot>> ranks = new TreeMap<>();
    private final DoubleSupplier random;

    private record LastSlot(long nanos, double weight) {}

    /**
     * Creates a schedule without slots.
     *
     * @param random random numbers between 0 and 1, from which jitter is derived
     */
    RetryAfterSchedule(DoubleSupplier random) {
        this.random = random;
    }

    /**
     * Assigns the next free slot to a refused entry and returns the time from now until then, jitter included.
     *
     * @param wait the time until the work that is already queued has been dispatched
     * @param gapNanos the mean time between two dispatches, or zero if it is unknown
     */
    Duration next(QueueEntry<?> entry, Duration wait, double gapNanos, long nowNanos) {
        removePassed(nowNanos);
        Map<String, LastSlot> lastSlots = ranks.computeIfAbsent(entry.rank(), ignored -> new TreeMap<>());
        LastSlot own = lastSlots.get(entry.workspace());
        double otherWeight = totalWeight(entry.rank()) - (own == null ? 0 : own.weight());
        double gap = gapNanos > 0 ? gapNanos : DEFAULT_GAP_NANOS;
        double ownGap = gap * (otherWeight + entry.weight()) / entry.weight();
        long earliest = nowNanos + wait.toNanos();
        long slot = (long) (own == null ? earliest : Math.max(earliest, own.nanos() + ownGap));
        slot = Math.min(slot, nowNanos + MAXIMUM_DELAY_NANOS);
        lastSlots.put(entry.workspace(), new LastSlot(slot, entry.weight()));
        return Duration.ofNanos(slot - nowNanos + (long) (ownGap * JITTER_SHARE * random.getAsDouble()));
    }

    /** Returns the number of workspaces with future slots, counted once for each rank. */
    int size() {
        return ranks.values().stream().mapToInt(Map::size).sum();
    }

    private double totalWeight(int leastUrgentRank) {
        return ranks.entrySet().stream()
                .filter(rank -> rank.getKey() <= leastUrgentRank)
                .flatMap(rank -> rank.getValue().values().stream())
                .mapToDouble(LastSlot::weight)
                .sum();
    }

    private void removePassed(long nowNanos) {
        Iterator<Map<String, LastSlot>> iterator = ranks.values().iterator();
        while (iterator.hasNext()) {
            Map<String, LastSlot> lastSlots = iterator.next();
            lastSlots.values().removeIf(lastSlot -> lastSlot.nanos() < nowNanos);
            if (lastSlots.isEmpty()) {
                iterator.remove();
            }
        }
    }
}
