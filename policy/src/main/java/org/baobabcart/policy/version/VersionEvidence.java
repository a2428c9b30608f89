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
 * stops no move. Times are compared by kind of work (route and model), as the difference of the means of their logarithms (Welch, "The
 * generalization of Student's problem when several different population variances are involved", 1947).
 */
public final class VersionEvidence {
    /** So few failures may come about by chance, such as an answer that was spoilt on its way. */
    private static final int LEAST_FAILURES = 3;
    /** What a target may fail more often than the other versions. */
    private static final double FAILURE_MARGIN = 0.12;

    private static final double FAILURE_FACTOR = 2;
    /** Fewer times say little of a mean. */
    private static final int LEAST_TIMES = 6;
    /** Engines of one service differ in speed by less than this factor. */
    private static final double SLOW_FACTOR = 1.6;
    /** So many standard errors above that factor come about by chance less than once in a thousand comparisons. */
    private static final double STANDARD_ERRORS = 3.3;

    private final Map<VersionOutcomeKey, VersionCounts> counts = new HashMap<>();

    private VersionEvidence() {}

    /** Evidence of nothing. */
    public static VersionEvidence create() {
        return new VersionEvidence();
    }

    /** Counts an answer. */
    public synchronized void answered(VersionOutcomeKey key) {
        counts.merge(key, VersionCounts.none().withAnswer(), VersionCounts::plus);
    }

    /** Takes a time that work of this kind took. */
    public synchronized void timed(VersionOutcomeKey key, double millis) {
        counts.merge(key, VersionCounts.none().withTime(millis), VersionCounts::plus);
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
        Optional<String> overall = failing(
                "all work",
                sum(key -> key.service().equals(service) && key.version().equals(target)),
                sum(key -> key.service().equals(service) && !key.version().equals(target)));
        return overall.or(() -> counts.keySet().stream()
                .filter(key -> key.service().equals(service) && key.version().equals(target))
                .map(key -> failing(key.work(), counts.get(key), others(key))
                        .or(() -> slow(key.work(), counts.get(key), others(key))))
                .flatMap(Optional::stream)
                .findFirst());
    }

    private VersionCounts others(VersionOutcomeKey target) {
        return sum(key -> key.service().equals(target.service())
                && key.work().equals(target.work())
                && !key.version().equals(target.version()));
    }

    private VersionCounts sum(Predicate<VersionOutcomeKey> wanted) {
        return counts.entrySet().stream()
                .filter(entry -> wanted.test(entry.getKey()))
                .map(Map.Entry::getValue)
                .reduce(VersionCounts.none(), VersionCounts::plus);
    }

    private static Optional<String> failing(String work, VersionCounts target, VersionCounts others) {
        double allowed = others.failureRate() * FAILURE_FACTOR + FAILURE_MARGIN;
        if (target.failures() < LEAST_FAILURES || target.failureRate() <= allowed) {
            return Optional.empty();
        }
        return Optional.of(String.format(
                "%s: %d of %d failed, others %d of %d",
                work, target.failures(), target.total(), others.failures(), others.total()));
    }

    private static Optional<String> slow(String work, VersionCounts target, VersionCounts others) {
        if (target.times() < LEAST_TIMES || others.times() < LEAST_TIMES) {
            return Optional.empty();
        }
        double difference = target.logMean() - others.logMean();
        double error = Math.sqrt(target.logMeanVariance() + others.logMeanVariance());
        if (difference - STANDARD_ERRORS * error <= Math.log(SLOW_FACTOR)) {
            return Optional.empty();
        }
        return Optional.of(String.format(
                "%s: %.1f ms in %d answers, others %.1f ms in %d",
                work, Math.exp(target.logMean()), target.times(), Math.exp(others.logMean()), others.times()));
    }
}
