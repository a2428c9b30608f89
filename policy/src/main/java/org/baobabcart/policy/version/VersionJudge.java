package org.baobabcart.policy.version;

import java.util.Map;
import java.util.Optional;

/**
 * Judges a new version by its failures and by when its answers begin. Stateless.
 *
 * <p>The load that it answers: few requests meet a new version, a part of whose answers are failures or several times slower, on all
 * kinds of requestClass or on one. The other versions are compared as they answer at the same time, so that what hits both alike stops no move.
 *
 * <p>Times spread over orders of magnitude and their longest ones come from queues, so that neither means nor quantiles tell much of a few
 * answers. They are compared by their ranks (Mann and Whitney, "On a test of whether one of two random variables is stochastically
 * larger than the other", 1947), each kind of requestClass by itself and then together. An attempt that still waits counts as one that
 * takes longer than it has waited (Gehan, "A generalized Wilcoxon test for comparing arbitrarily singly-censored samples", 1965);
 * without those, a slow version looks like its fast answers.
 */
public final class VersionJudge {
    /** So few failures may come about by chance, such as an answer that was spoilt on its way. */
    private static final int MIN_FAILURES = 3;
    /** What a version may fail more often than the others. */
    private static final double FAILURE_MARGIN = 0.12;

    private static final double FAILURE_FACTOR = 2;

    /** Engines of one service differ in speed, and those of a new version have no prompts in memory yet: 3 buckets are a factor of 1.3. */
    private static final int MARGIN_BUCKETS = 3;
    /** One kind of requestClass alone may be slower, such as long prompts that are read for the first time: a factor of 2.6. */
    private static final int SINGLE_CLASS_MARGIN_BUCKETS = 11;
    /** Fewer times of the others say little of what is baseline. */
    private static final int MIN_BASELINE_TIMES = 6;
    /** Fewer answers may all be slow, or fast, by chance. */
    private static final int MIN_RANKED_ANSWERS = 12;
    /** Answers from which on nothing that speaks against a version speaks for it. */
    private static final int MIN_SOUND_ANSWERS = 20;

    /** So many standard errors come about by chance less than once in a thousand comparisons. */
    private static final double BAD_STANDARD_ERRORS = 3.3;
    /** With the margin, a version like the others lies below zero. */
    private static final double SUSPECT_STANDARD_ERRORS = 0.5;

    private VersionJudge() {}

    /** What the evidence says of a version that answers at the same time as others. */
    public static VersionJudgement judge(ServiceEvidence evidence, String target) {
        RankStatistic all = pooledRanks(evidence, target);
        return failureReason(evidence, target)
                .or(() -> slownessReason(evidence, target, all))
                .map(reason -> new VersionJudgement(VersionVerdict.BAD, reason))
                .orElseGet(() -> new VersionJudgement(all.verdict(), all.text("all work")));
    }

    /**
     * What the evidence says of a version that answers alone by now. Its times are not compared with those that others had under
     * another load.
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

    /** The ranks of one kind of requestClass; none where the others have had too little of it. */
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
     * How the times of a version rank among those of others.
     *
     * @param answers the times that were ranked
     * @param excess the sum over these of the part of the others' times that are shorter, above one half each
     * @param variance the variance of that sum where both are alike
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
