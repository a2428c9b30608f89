package org.baobabcart.policy.placement;

import java.util.Set;
import java.util.TreeSet;

/**
 * Loads of a version that failed since it was last loaded with success. Immutable.
 *
 * @param count how many failed
 * @param engines the engines on which they failed
 * @param inDoubt those of them that may still be loading
 * @param lastNanos when this node learnt of the last failure, on its monotonic clock
 */
public record LoadFailures(int count, Set<String> engines, Set<String> inDoubt, long lastNanos) {
    /** Copies the sets. */
    public LoadFailures {
        engines = Set.copyOf(engines);
        inDoubt = Set.copyOf(inDoubt);
    }

    /** No failures. */
    public static LoadFailures none() {
        return new LoadFailures(0, Set.of(), Set.of(), 0);
    }

    /** One failure more on an engine that may still be loading. */
    LoadFailures withDoubtful(String engine, long nowNanos) {
        return new LoadFailures(count + 1, and(engines, engine), and(inDoubt, engine), nowNanos);
    }

    /** One failure more on an engine that surely did not begin. */
    LoadFailures withRefusal(String engine, long nowNanos) {
        return new LoadFailures(count + 1, and(engines, engine), inDoubt, nowNanos);
    }

    private static Set<String> and(Set<String> engines, String engine) {
        Set<String> all = new TreeSet<>(engines);
        all.add(engine);
        return all;
    }

    /** Whether the next load has to wait. */
    boolean pauses(long nowNanos, PlacementSettings settings) {
        return count > 0 && nowNanos - lastNanos < settings.pauseNanos(count);
    }
}
