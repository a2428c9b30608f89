package org.baobabcart.policy.placement;

import java.util.Set;
import java.util.TreeSet;

/**
 * Failed loads of a version since its last successful load. Immutable.
 *
 * @param count the number of failed loads
 * @param engines the engines on which loads failed
 * @param inDoubt the engines among them that may still be loading
 * @param lastNanos the monotonic time at which this node recorded the last failure
 */
public record LoadFailures(int count, Set<String> engines, Set<String> inDoubt, long lastNanos) {
    /** Copies the sets. */
    public LoadFailures {
        engines = Set.copyOf(engines);
        inDoubt = Set.copyOf(inDoubt);
    }

    /** Returns an instance without failures. */
    public static LoadFailures none() {
        return new LoadFailures(0, Set.of(), Set.of(), 0);
    }

    /** Returns these failures and one more on an engine that may still be loading. */
    LoadFailures withFailureInDoubt(String engine, long nowNanos) {
        return new LoadFailures(count + 1, plus(engines, engine), plus(inDoubt, engine), nowNanos);
    }

    /** Returns these failures and one more on an engine that refused and so did not start to load. */
    LoadFailures withRefusal(String engine, long nowNanos) {
        return new LoadFailures(count + 1, plus(engines, engine), inDoubt, nowNanos);
    }

    private static Set<String> plus(Set<String> engines, String engine) {
        Set<String> all = new TreeSet<>(engines);
        all.add(engine);
        return all;
    }

    /** Returns whether the next load is still held back by the back-off. */
    boolean isBackingOff(long nowNanos, PlacementSettings settings) {
        return count > 0 && nowNanos - lastNanos < settings.backOffNanos(count);
    }
}
