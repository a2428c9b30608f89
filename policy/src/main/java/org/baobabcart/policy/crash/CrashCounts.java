package org.baobabcart.policy.crash;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Weighted counts of upstream crashes for each request fingerprint and each router that observed them. Immutable and
 * thread-safe.
 *
 * <p>A grow-only counter (Shapiro and others, "A comprehensive study of convergent and commutative replicated data
 * types", 2011): reports may arrive late, twice and in any order. Beyond a limit the oldest fingerprints are evicted.
 */
public final class CrashCounts {
    /** The weight of a broken connection to an upstream whose host still responds. */
    public static final int BROKEN_CONNECTION = 1;
    /** The weight of a broken connection to an upstream that no longer responds. */
    public static final int LOST_UPSTREAM = 2;
    /** The total weight from which on a request is not sent to any upstream. */
    public static final int QUARANTINE_THRESHOLD = 4;

    private static final int MAXIMUM_FINGERPRINTS = 4096;
    private static final CrashCounts EMPTY = new CrashCounts(Map.of());

    private final Map<String, Map<String, Integer>> counts;

    private CrashCounts(Map<String, Map<String, Integer>> counts) {
        this.counts = counts;
    }

    /** Returns counts without crashes. */
    public static CrashCounts empty() {
        return EMPTY;
    }

    /** Returns these counts with one more crash of this weight, observed by a router. */
    public CrashCounts withCrash(String fingerprint, String router, int weight) {
        return withReport(fingerprint, router, byRouter(fingerprint).getOrDefault(router, 0) + weight);
    }

    /** Returns these counts with the total weight that a router has reported for a fingerprint. */
    public CrashCounts withReport(String fingerprint, String router, int reportedWeight) {
        if (reportedWeight <= byRouter(fingerprint).getOrDefault(router, 0)) {
            return this;
        }
        Map<String, Integer> routers = new LinkedHashMap<>(byRouter(fingerprint));
        routers.put(router, reportedWeight);
        Map<String, Map<String, Integer>> changed = new LinkedHashMap<>(counts);
        changed.put(fingerprint, Collections.unmodifiableMap(routers));
        if (changed.size() > MAXIMUM_FINGERPRINTS) {
            changed.remove(changed.keySet().iterator().next());
        }
        return new CrashCounts(Collections.unmodifiableMap(changed));
    }

    /** Returns the total weight of a fingerprint. */
    public int total(String fingerprint) {
        return byRouter(fingerprint).values().stream()
                .mapToInt(Integer::intValue)
                .sum();
    }

    /** Returns the weights of a fingerprint by router. */
    public Map<String, Integer> byRouter(String fingerprint) {
        return counts.getOrDefault(fingerprint, Map.of());
    }

    /** Returns all fingerprints with crashes. */
    public Set<String> fingerprints() {
        return counts.keySet();
    }

    /** Returns the fingerprints whose total weight is at least the given one. */
    public Set<String> fingerprintsAtLeast(int threshold) {
        return counts.keySet().stream()
                .filter(fingerprint -> total(fingerprint) >= threshold)
                .collect(Collectors.toUnmodifiableSet());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof CrashCounts that && counts.equals(that.counts);
    }

    @Override
    public int hashCode() {
        return counts.hashCode();
    }
}
