package org.baobabcart.policy.version;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Outcomes of the versions of services while an order moves them, and the judgement of the target. Thread-safe.
 *
 * <p>The load that it answers: few requests meet a new version, some of whose answers are failures or slow, on all routes or
 * on one. The target is compared with the other versions as they answer during the same time, so that what hits both alike
 * stops no move.
 */
public final class VersionEvidence {
    /** So few failures may come about by chance, such as a connection that broke. */
    private static final int LEAST_FAILURES = 3;
    /** What a target may fail more often than the other versions. */
    private static final double FAILURE_MARGIN = 0.12;

    private static final double FAILURE_FACTOR = 2;
    /** Fewer answers say little of a mean time. */
    private static final int LEAST_PACED_ANSWERS = 6;
    /** Engines of one service differ in speed by less than this factor. */
    private static final double SLOW_FACTOR = 2.5;

    private final Map<VersionOutcomeKey, VersionCounts> counts = new HashMap<>();

    private VersionEvidence() {}

    /** Evidence of nothing. */
    public static VersionEvidence create() {
        return new VersionEvidence();
    }

    /**
     * Counts an answer.
     *
     * @param pace its time divided by the size of its work
     */
    public synchronized void answered(VersionOutcomeKey key, double pace) {
        counts.merge(key, VersionCounts.none().withAnswer(pace), VersionCounts::plus);
    }

    /** Counts a failure. */
    public synchronized void failed(VersionOutcomeKey key) {
        counts.merge(key, VersionCounts.none().withFailure(), VersionCounts::plus);
    }

    /** Forgets a service, when a new order begins. */
    public synchronized void forget(String service) {
        counts.keySet().removeIf(key -> key.service().equals(service));
    }

    /** Why the target of an order is bad; empty where it is not known to be. */
    public synchronized Optional<String> fault(String service, String target) {
        Optional<String> overall = compare(
                "all routes",
                sum(key -> key.service().equals(service) && key.version().equals(target)),
                sum(key -> key.service().equals(service) && !key.version().equals(target)));
        if (overall.isPresent()) {
            return overall;
        }
        return counts.keySet().stream()
                .filter(key -> key.service().equals(service) && key.version().equals(target))
                .map(key -> compare(key.route(), counts.get(key), others(key)))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private VersionCounts others(VersionOutcomeKey target) {
        return sum(key -> key.service().equals(target.service())
                && key.route().equals(target.route())
                && !key.version().equals(target.version()));
    }

    private VersionCounts sum(Predicate<VersionOutcomeKey> wanted) {
        return counts.entrySet().stream()
                .filter(entry -> wanted.test(entry.getKey()))
                .map(Map.Entry::getValue)
                .reduce(VersionCounts.none(), VersionCounts::plus);
    }

    private static Optional<String> compare(String where, VersionCounts target, VersionCounts others) {
        double allowed = others.failureRate() * FAILURE_FACTOR + FAILURE_MARGIN;
        if (target.failures() >= LEAST_FAILURES && target.failureRate() > allowed) {
            return Optional.of(String.format(
                    "%s: %d of %d failed, others %d of %d",
                    where, target.failures(), target.total(), others.failures(), others.total()));
        }
        boolean paced = target.answers() >= LEAST_PACED_ANSWERS && others.answers() >= LEAST_PACED_ANSWERS;
        if (paced && target.pace() > SLOW_FACTOR * others.pace()) {
            return Optional.of(
                    String.format("%s: %.1f ms a unit of work, others %.1f ms", where, target.pace(), others.pace()));
        }
        return Optional.empty();
    }
}
