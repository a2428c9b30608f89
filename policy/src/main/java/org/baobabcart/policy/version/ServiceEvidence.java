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
public record ServiceEvidence(Map<VersionRequestClass, VersionCounts> counts) {
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
        Map<VersionRequestClass, VersionCounts> sum = new HashMap<>(counts);
        other.counts.forEach((versionClass, added) -> sum.merge(versionClass, added, VersionCounts::plus));
        return new ServiceEvidence(sum);
    }

    /** The outcomes that came after an earlier state of this evidence. */
    public ServiceEvidence minus(ServiceEvidence earlier) {
        Map<VersionRequestClass, VersionCounts> later = new HashMap<>();
        counts.forEach((versionClass, current) -> later.put(
                versionClass, current.minus(earlier.counts.getOrDefault(versionClass, VersionCounts.none()))));
        return new ServiceEvidence(later);
    }

    /** The kinds of work that this version has had. */
    Set<String> requestClasses(String version) {
        return counts.keySet().stream()
                .filter(versionClass -> versionClass.version().equals(version))
                .map(VersionRequestClass::requestClass)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** The outcomes of this version, on all work. */
    VersionCounts countsOf(String version) {
        return sum(versionClass -> versionClass.version().equals(version));
    }

    /** The outcomes of this version on one kind of work. */
    VersionCounts countsOf(String version, String requestClass) {
        return counts.getOrDefault(new VersionRequestClass(version, requestClass), VersionCounts.none());
    }

    /** The outcomes of all versions but this one, on all work. */
    VersionCounts countsExcept(String version) {
        return sum(versionClass -> !versionClass.version().equals(version));
    }

    /** The outcomes of all versions but this one on one kind of work. */
    VersionCounts countsExcept(String version, String requestClass) {
        return sum(versionClass -> !versionClass.version().equals(version)
                && versionClass.requestClass().equals(requestClass));
    }

    private VersionCounts sum(Predicate<VersionRequestClass> filter) {
        return counts.entrySet().stream()
                .filter(entry -> filter.test(entry.getKey()))
                .map(Map.Entry::getValue)
                .reduce(VersionCounts.none(), VersionCounts::plus);
    }
}
