package org.baobabcart.policy.version;

import java.util.Map;
import java.util.Optional;

/**
 * Judges a new version by its failure rate and by the time until its answers begin. Stateless.
 *
 * <p>The new version receives few requests. It may fail, or be several times slower, only for a part of them and only
 * for some request classes. It is compared with the other versions over the same period, so that a disturbance that
 * affects all versions alike does not stop a move.
 *
 * <p>Latencies spread over orders of magnitude and the longest ones are caused by queueing, so that means and quantiles
 * of a few answers are not informative. They are compared by rank instead (Mann and Whitney, "On a test of whether one
 * of two random variables is stochastically larger than the other", 1947), first within each request class and then
 * pooled. A pending attempt counts as a censored observation, longer than its current waiting time (Gehan, "A
 * generalized Wilcoxon test for comparing arbitrarily singly-censored samples", 1965); without pending attempts a slow
 * version would be judged by its fast answers only.
 */
public final class VersionJudge {
    /** Fewer failures may occur by chance, such as an answer that was corrupted in transit. */
    private static final int MIN_FAILURES = 3;
    /** By how much the failure rate may exceed that of the other versions. */
    private static final double FAILURE_MARGIN = 0.12;

    private static final double FAILURE_FACTOR = 2;

    /**
     * 3 buckets are a factor of 1.3: engines of one service differ in speed, and those of a new version start with an
     * empty prompt cache.
     */
    private static final int MARGIN_BUCKETS = 3;
    /**
     * 11 buckets are a factor of 2.6: a single request class may be slower, such as long prompts that are processed for
     * the first time.
     */
    private static final int SINGLE_CLASS_MARGIN_BUCKETS = 11;
    /** Fewer latencies of the other versions are not a reliable baseline. */
    private static final int MIN_BASELINE_TIMES = 6;
    /** Fewer answers may all be slow, or all be fast, by chance. */
    private static final int MIN_RANKED_ANSWERS = 12;
    /** The number of answers from which on a version without evidence against it is considered sound. */
    private static final int MIN_SOUND_ANSWERS = 20;

    /** Exceeded by chance in fewer than one of a thousand comparisons. */
    private static final double BAD_STANDARD_ERRORS = 3.3;
    /** Because of the margin, the statistic of a version that equals the others is negative. */
    private static final double SUSPECT_STANDARD_ERRORS = 0.5;

    private VersionJudge() {}

    /** Judges a version that serves requests at the same time as other versions. */
    public static VersionJudgement judge(ServiceEvidence evidence, String target) {
        RankStatistic all = pooledRanks(evidence, target);
        return failureReason(evidence, target)
                .or(() -> slownessReason(evidence, target, all))
                .map(reason -> new VersionJudgement(VersionVerdict.BAD, reason))
                .orElseGet(() -> new VersionJudgement(all.verdict(), all.text("all work")));
    }

    /**
     * Judges a version that serves alone. Only failures are compared, since the latencies of the other versions were
     * observed under a different load.
     */
    public static VersionJudgement judgeFailures(ServiceEvidence evidence, String target) {
        return failureReason(evidence, target)
                .map(reason -> new VersionJudgement(VersionVerdict.BAD, reason))
                .orElseGet(() -> new VersionJudgement(VersionVerdict.UNKNOWN, "no more failures than others"));
    }

    private static Optional<String> failureReason(ServiceEvidence evidence, String target) {
        return excessFailures("all work", evidence.countsOf(target), evidence.countsExcept(target))
                .or(() -> evidence.requestClasses(target).stream()
                        .flatMap(requestClass -> excessFailures(
                                requestClass,
                                evidence.countsOf(target, requestClass),
                                evidence.countsExcept(target, requestClass))
                                .stream())
                        .findFirst());
    }

    private static Optional<String> excessFailures(String requestClass, VersionCounts target, VersionCounts others) {
        double allowed = others.failureRate() * FAILURE_FACTOR + FAILURE_MARGIN;
        if (target.failures() < MIN_FAILURES || target.failureRate() <= allowed) {
            return Optional.empty();
        }
        return Optional.of(String.format(
                "%s: %d of %d failed, others %d of %d",
                requestClass, target.failures(), target.total(), others.failures(), others.total()));
    }

    private static Optional<String> slownessReason(ServiceEvidence evidence, String target, RankStatistic all) {
        if (all.isBad()) {
            return Optional.of(all.text("all work"));
        }
        return evidence.requestClasses(target).stream()
                .flatMap(requestClass -> Optional.of(ranks(evidence, target, requestClass, SINGLE_CLASS_MARGIN_BUCKETS))
                        .filter(RankStatistic::isBad)
                        .map(ranks -> ranks.text(requestClass))
                        .stream())
                .findFirst();
    }

    private static RankStatistic pooledRanks(ServiceEvidence evidence, String target) {
        return evidence.requestClasses(target).stream()
                .map(requestClass -> ranks(evidence, target, requestClass, MARGIN_BUCKETS))
                .reduce(RankStatistic.none(), RankStatistic::plus);
    }

    /** Returns the rank statistic of one request class, empty if the baseline of the other versions is too small. */
    private static RankStatistic ranks(ServiceEvidence evidence, String target, String requestClass, int margin) {
        LatencyHistogram baseline = evidence.countsExcept(target, requestClass).startTimes();
        VersionCounts counts = evidence.countsOf(target, requestClass);
        long others = baseline.total();
        if (others < MIN_BASELINE_TIMES) {
            return RankStatistic.none();
        }
        long answers = 0;
        double slower = 0;
        for (Map.Entry<Integer, Long> started : counts.startTimes().byBucket().entrySet()) {
            int bucket = started.getKey() - margin;
            answers += started.getValue();
            slower += started.getValue() * (baseline.countBelow(bucket) + baseline.count(bucket) / 2.0) / others;
        }
        int median = baseline.medianBucket();
        for (Map.Entry<Integer, Long> censored :
                counts.censoredTimes().byBucket().entrySet()) {
            int bucket = censored.getKey() - margin;
            if (bucket > median) {
                answers += censored.getValue();
                slower += censored.getValue() * (1 + (double) baseline.countBelow(bucket) / others) / 2;
            }
        }
        double excess = slower - answers / 2.0;
        return new RankStatistic(answers, excess, answers / 12.0 * (1 + (double) answers / others));
    }

    /**
     * The ranks of a version's latencies among those of the other versions.
     *
     * @param answers the number of ranked latencies
     * @param excess the sum, over these latencies, of the fraction of the others' latencies that are shorter, minus one
     *     half each
     * @param variance the variance of that sum if both distributions are equal
     */
    private record RankStatistic(long answers, double excess, double variance) {
        private static final RankStatistic NONE = new RankStatistic(0, 0, 0);

        static RankStatistic none() {
            return NONE;
        }

        RankStatistic plus(RankStatistic other) {
            return new RankStatistic(answers + other.answers, excess + other.excess, variance + other.variance);
        }

        private double standardErrors() {
            return answers == 0 ? 0 : excess / Math.sqrt(variance);
        }

        boolean isBad() {
            return answers >= MIN_RANKED_ANSWERS && standardErrors() >= BAD_STANDARD_ERRORS;
        }

        VersionVerdict verdict() {
            if (answers < MIN_RANKED_ANSWERS) {
                return VersionVerdict.UNKNOWN;
            }
            if (standardErrors() > SUSPECT_STANDARD_ERRORS) {
                return VersionVerdict.SUSPECT;
            }
            boolean isSound = answers >= MIN_SOUND_ANSWERS && standardErrors() <= 0;
            return isSound ? VersionVerdict.SOUND : VersionVerdict.UNKNOWN;
        }

        String text(String requestClass) {
            double rank = answers == 0 ? 0 : excess / answers + 1 / 2.0;
            return String.format(
                    "%s: slower than %.2f of the others in %d answers, %.1f standard errors",
                    requestClass, rank, answers, standardErrors());
        }
    }
}
