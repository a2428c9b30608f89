package org.baobabcart.policy.admission;

import java.time.Duration;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;

/**
 * When refused callers may come back, so that they arrive at the pace at which work is dispatched.
 *
 * <p>Each workspace has a line of slots in each rank, by the virtual scheduling of the generic cell rate algorithm (ITU-T
 * I.371): the next slot lies a gap after its last one. The gap is the time between two dispatches over the workspace's share
 * among all that have slots ahead in its own or a more urgent rank. A slot holds nothing back: one that is not used costs no capacity, and
 * lines whose last slot has passed are forgotten. Not thread-safe.
 */
final class RetryAfterSchedule {
    private static final double GAP_BEFORE_ANY_IS_KNOWN = Duration.ofMillis(100).toNanos();
    private static final long LONGEST_NANOS = Duration.ofMinutes(10).toNanos();
    private static final double JITTER = 0.5;

    private final Map<Integer, Map<String, Line>> ranks = new TreeMap<>();
    private final DoubleSupplier random;

    private record Line(long lastNanos, double weight) {}

    /** An empty calendar that takes its jitter from numbers between 0 and 1. */
    RetryAfterSchedule(DoubleSupplier random) {
        this.random = random;
    }

    /**
     * The time from now until the next free slot.
     *
     * @param wait the time until what waits already has been dispatched
     * @param gapNanos the time between two dispatches; zero if it is not known
     */
    Duration next(Entry<?> entry, Duration wait, double gapNanos, long nowNanos) {
        forget(nowNanos);
        Map<String, Line> lines = ranks.computeIfAbsent(entry.rank(), ignored -> new TreeMap<>());
        Line own = lines.get(entry.workspace());
        double others = weights(entry.rank()) - (own == null ? 0 : own.weight());
        double gap = gapNanos > 0 ? gapNanos : GAP_BEFORE_ANY_IS_KNOWN;
        double ownGap = gap * (others + entry.weight()) / entry.weight();
        long earliest = nowNanos + wait.toNanos();
        long slot = (long) (own == null ? earliest : Math.max(earliest, own.lastNanos() + ownGap));
        slot = Math.min(slot, nowNanos + LONGEST_NANOS);
        lines.put(entry.workspace(), new Line(slot, entry.weight()));
        return Duration.ofNanos(slot - nowNanos + (long) (ownGap * JITTER * random.getAsDouble()));
    }

    /** The number of lines. */
    int size() {
        return ranks.values().stream().mapToInt(Map::size).sum();
    }

    private double weights(int lowestRank) {
        return ranks.entrySet().stream()
                .filter(rank -> rank.getKey() <= lowestRank)
                .flatMap(rank -> rank.getValue().values().stream())
                .mapToDouble(Line::weight)
                .sum();
    }

    private void forget(long nowNanos) {
        Iterator<Map<String, Line>> rest = ranks.values().iterator();
        while (rest.hasNext()) {
            Map<String, Line> lines = rest.next();
            lines.values().removeIf(line -> line.lastNanos() < nowNanos);
            if (lines.isEmpty()) {
                rest.remove();
            }
        }
    }
}
