package org.baobabcart.policy.crash;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Upstream crashes counted, by their weight, for each request fingerprint and each router that saw them.
 *
 * <p>A grow-only counter in the sense of Shapiro and others, "A comprehensive study of convergent and commutative
 * replicated data types" (2011): reports may arrive late, twice and in any order. Fingerprints beyond a limit fall out,
 * the oldest first. Immutable and thread-safe.
 */
public final class CrashCounts {
    /** The weight of a broken connection to an upstream whose host still answers. */
    public static final int BROKEN_CONNECTION = 1;
    /** The weight of a broken connection to an upstream that answers no more. */
    public static final int LOST_UPSTREAM = 2;
    /** The sum of weights at which no upstream gets a request any more. */
    public static final int BOUND = 4;

    private static final int FINGERPRINTS_LIMIT = 4096;
    private static final CrashCounts EMPTY = new CrashCounts(Map.of());

    private final Map<String, Map<String, Integer>> counts;

    private CrashCounts(Map<String, Map<String, Integer>> counts) {
        this.counts = counts;
    }

    /** No crashes. */
    public static CrashCounts empty() {
        return EMPTY;
    }

    /** The counts after one more crash of this weight seen by a router. */
    public CrashCounts withCrash(String fingerprint, String router, int weight) {
        return withReport(fingerprint, router, of(fingerprint).getOrDefault(router, 0) + weight);
    }

    /** The counts after a report of all crashes that a router has seen for a fingerprint. */
    public CrashCounts withReport(String fingerprint, String router, int crashes) {
        if (crashes <= of(fingerprint).getOrDefault(router, 0)) {
            return this;
        }
        Map<String, Integer> routers = new LinkedHashMap<>(of(fingerprint));
        routers.put(router, crashes);
        Map<String, Map<String, Integer>> changed = new LinkedHashMap<>(counts);
        changed.put(fingerprint, Collections.unmodifiableMap(routers));
        if (changed.size() > FINGERPRINTS_LIMIT) {
            changed.remove(changed.keySet().iterator().next());
        }
        return new CrashCounts(Collections.unmodifiableMap(changed));
    }

    /** All crashes of a fingerprint. */
    public int total(String fingerprint) {
        return of(fingerprint).values().stream().mapToInt(Integer::intValue).sum();
    }

    /** The crashes of a fingerprint by the router that saw them. */
    public Map<String, Integer> of(String fingerprint) {
        return counts.getOrDefault(fingerprint, Map.of());
    }

    /** All fingerprints that have crashed an upstream. */
    public Set<String> fingerprints() {
        return counts.keySet();
    }

    /** The fingerprints that have crashed upstreams at least so often. */
    public Set<String> atLeast(int bound) {
        return counts.keySet().stream()
                .filter(fingerprint -> total(fingerprint) >= bound)
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
