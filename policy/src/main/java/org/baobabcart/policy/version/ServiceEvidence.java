package org.baobabcart.policy.version;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Outcomes of the versions of one service, of one router or of several together. Immutable.
 *
 * @param counts outcomes by version and kind of work
 */
public record ServiceEvidence(Map<VersionWork, VersionCounts> counts) {
    private static final ServiceEvidence NONE = new ServiceEvidence(Map.of());

    /** Keeps a copy of the counts. */
    public ServiceEvidence {
        counts = Map.copyOf(counts);
    }

    /** Evidence of nothing. */
    public static ServiceEvidence none() {
        return NONE;
    }

    /** The outcomes of both. */
    public ServiceEvidence plus(ServiceEvidence other) {
        Map<VersionWork, VersionCounts> sum = new HashMap<>(counts);
        other.counts.forEach((work, more) -> sum.merge(work, more, VersionCounts::plus));
        return new ServiceEvidence(sum);
    }

    /** The outcomes that came after an earlier state of this evidence. */
    public ServiceEvidence minus(ServiceEvidence earlier) {
        Map<VersionWork, VersionCounts> later = new HashMap<>();
        counts.forEach(
                (work, now) -> later.put(work, now.minus(earlier.counts.getOrDefault(work, VersionCounts.none()))));
        return new ServiceEvidence(later);
    }

    /** The kinds of work that this version has had. */
    Set<String> works(String version) {
        return counts.keySet().stream()
                .filter(key -> key.version().equals(version))
                .map(VersionWork::work)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** The outcomes of this version, on all work. */
    VersionCounts of(String version) {
        return sum(key -> key.version().equals(version));
    }

    /** The outcomes of this version on one kind of work. */
    VersionCounts of(String version, String work) {
        return counts.getOrDefault(new VersionWork(version, work), VersionCounts.none());
    }

    /** The outcomes of all versions but this one, on all work. */
    VersionCounts besides(String version) {
        return sum(key -> !key.version().equals(version));
    }

    /** The outcomes of all versions but this one on one kind of work. */
    VersionCounts besides(String version, String work) {
        return sum(key -> !key.version().equals(version) && key.work().equals(work));
    }

    private VersionCounts sum(Predicate<VersionWork> wanted) {
        return counts.entrySet().stream()
                .filter(entry -> wanted.test(entry.getKey()))
                .map(Map.Entry::getValue)
                .reduce(VersionCounts.none(), VersionCounts::plus);
    }
}
