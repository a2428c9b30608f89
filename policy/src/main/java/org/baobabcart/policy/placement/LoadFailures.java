package org.baobabcart.policy.placement;

import java.util.Set;
import java.util.TreeSet;

/**
 * Loads of a version that failed since it was last loaded with success. Immutable.
 *
 * @param count how many failed
 * @param engines the engines on which they failed
 * @param lastNanos when this node learnt of the last failure, on its monotonic clock
 */
public record LoadFailures(int count, Set<String> engines, long lastNanos) {
    /** Copies the set. */
    public LoadFailures {
        engines = Set.copyOf(engines);
    }

    /** No failures. */
    public static LoadFailures none() {
        return new LoadFailures(0, Set.of(), 0);
    }

    /** One failure more. */
    public LoadFailures with(String engine, long nowNanos) {
        Set<String> all = new TreeSet<>(engines);
        all.add(engine);
        return new LoadFailures(count + 1, all, nowNanos);
    }

    /** Whether the next load has to wait. */
    boolean pauses(long nowNanos, PlacementSettings settings) {
        return count > 0 && nowNanos - lastNanos < settings.pauseNanos(count);
    }
}
