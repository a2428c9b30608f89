package org.baobabcart.policy.version;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Outcomes of the versions of one service, collected by one router or pooled over several. Immutable.
 *
 * @param counts the outcomes by version and request class
 */
public record ServiceEvidence(Map<VersionRequestClass, VersionCounts> counts) {
    private static final ServiceEvidence NONE = new ServiceEvidence(Map.of());

    /** Copies the map. */
    public ServiceEvidence {
        counts = Map.copyOf(counts);
    }

    /** Returns empty evidence. */
    public static ServiceEvidence none() {
        return NONE;
    }

    /** Returns the sum of this and other evidence. */
    public ServiceEvidence plus(ServiceEvidence other) {
        Map<VersionRequestClass, VersionCounts> sum = new HashMap<>(counts);
        other.counts.forEach((versionClass, added) -> sum.merge(versionClass, added, VersionCounts::plus));
        return new ServiceEvidence(sum);
    }

    /** Returns the outcomes that were added since an earlier state of this evidence. */
    public ServiceEvidence minus(ServiceEvidence earlier) {
        Map<VersionRequestClass, VersionCounts> later = new HashMap<>();
        counts.forEach((versionClass, current) -> later.put(
                versionClass, current.minus(earlier.counts.getOrDefault(versionClass, VersionCounts.none()))));
        return new ServiceEvidence(later);
    }

    /** Returns the request classes for which the version has outcomes. */
    Set<String> requestClasses(String version) {
        return counts.keySet().stream()
                .filter(versionClass -> versionClass.version().equals(version))
                .map(VersionRequestClass::requestClass)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the outcomes of the version over all request classes. */
    VersionCounts countsOf(String version) {
        return sum(versionClass -> versionClass.version().equals(version));
    }

    /** Returns the outcomes of the version for one request class. */
    VersionCounts countsOf(String version, String requestClass) {
        return counts.getOrDefault(new VersionRequestClass(version, requestClass), VersionCounts.none());
    }

    /** Returns the outcomes of all other versions over all request classes. */
    VersionCounts countsExcept(String version) {
        return sum(versionClass -> !versionClass.version().equals(version));
    }

    /** Returns the outcomes of all other versions for one request class. */
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
