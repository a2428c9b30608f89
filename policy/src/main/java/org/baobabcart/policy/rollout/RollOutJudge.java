package org.baobabcart.policy.rollout;

import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Stream;
import org.baobabcart.model.sheet.RollOutStage;

/**
 * Judges a stage of a roll-out by comparing the new version with the old one over the same period. Immutable and
 * thread-safe.
 *
 * <p>Failures, ratings and latencies are each tested over the whole stage and over recent windows. The new version's
 * mean loss is tested against the upper end of the old version's confidence sequence for the stage, or the old
 * version's mean in the same window if that is greater, plus a margin; a disturbance that affects both versions alike
 * does not stop a roll-out. The bound on the false-stop probability is divided among the kinds of loss, between the old
 * version's confidence sequence and the tests, and among stages and windows by the series {@code 6 / (pi * n) ^ 2},
 * whose sum is one.
 */
public final class RollOutJudge {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double OLD_VERSION_SHARE = 1.0 / 6;
    private static final double SUSPICION_THRESHOLD = Math.log(20);

    private final RollOutSettings settings;

    private RollOutJudge(RollOutSettings settings) {
        this.settings = settings;
    }

    /** Creates a judge with the given settings. */
    public static RollOutJudge of(RollOutSettings settings) {
        return new RollOutJudge(settings);
    }

    /**
     * Judges a stage.
     *
     * @param rules the stage's rules
     * @param evidence the evidence of the stage
     * @param elapsedNanos the time for which the controller has observed the stage
     */
    public RollOutVerdict judge(RollOutStage rules, StageEvidence evidence, long elapsedNanos) {
        Optional<String> stopReason = stopReason(evidence);
        if (stopReason.isPresent()) {
            return RollOutVerdict.stop(stopReason.get());
        }
        return holdReason(rules, evidence, elapsedNanos)
                .map(RollOutVerdict::hold)
                .orElseGet(() -> RollOutVerdict.advance("stage passed"));
    }

    /** Returns the reason for which the roll-out has to be stopped, or empty if it may continue. */
    public Optional<String> stopReason(StageEvidence evidence) {
        return comparisons(evidence)
                .filter(comparison -> comparison.logEvidence()
                        >= threshold(comparison.kind(), evidence.stage(), 1 - OLD_VERSION_SHARE, comparison.window()))
                .map(LossComparison::reason)
                .findFirst();
    }

    private Stream<LossComparison> comparisons(StageEvidence evidence) {
        return Arrays.stream(LossKind.values()).flatMap(kind -> {
            double expectedLoss = expectedLoss(kind, evidence);
            return evidence.windows().all().stream().map(window -> compare(kind, evidence, window, expectedLoss));
        });
    }

    private LossComparison compare(LossKind kind, StageEvidence evidence, EvidenceWindow window, double expectedLoss) {
        LossSample sample = kind.sample(evidence.newTotals().since(window.newStart()));
        LossSample oldSample = kind.sample(evidence.oldTotals().since(window.oldStart()));
        double bound = Math.max(expectedLoss, oldSample.mean()) + kind.margin(settings);
        return new LossComparison(kind, window.number(), sample, bound);
    }

    /** Returns an upper bound on the old version's mean loss. */
    private double expectedLoss(LossKind kind, StageEvidence evidence) {
        if (!isOldVersionComparable(evidence)) {
            return kind.assumed(settings);
        }
        return SequentialTest.upperMean(
                kind.sample(evidence.oldTotals()), threshold(kind, evidence.stage(), OLD_VERSION_SHARE, 1));
    }

    private boolean isOldVersionComparable(StageEvidence evidence) {
        return evidence.share() <= settings.maxComparedShare();
    }

    private Optional<String> holdReason(RollOutStage rules, StageEvidence evidence, long elapsedNanos) {
        if (elapsedNanos < rules.minimumSeconds() * NANOS_PER_SECOND) {
            return Optional.of("minimum time not reached");
        }
        long rated = evidence.newTotals().ratings();
        if (rated < rules.minimumSamples()) {
            return Optional.of("rated " + rated + " of " + rules.minimumSamples());
        }
        Optional<String> worseReason = Arrays.stream(LossKind.values())
                .filter(kind -> isWorseOnAverage(kind, evidence))
                .map(kind -> kind.label() + " above the old version's by more than the margin")
                .findFirst();
        return worseReason.or(() -> comparisons(evidence)
                .filter(comparison -> comparison.logEvidence() >= SUSPICION_THRESHOLD)
                .map(comparison -> "under suspicion: " + comparison.reason())
                .findFirst());
    }

    /** Returns whether the mean loss is too high to advance, although it may not be significant enough to stop. */
    private boolean isWorseOnAverage(LossKind kind, StageEvidence evidence) {
        double reference = isOldVersionComparable(evidence)
                ? kind.sample(evidence.oldTotals()).mean()
                : kind.assumed(settings);
        return kind.sample(evidence.newTotals()).mean() > reference + kind.margin(settings);
    }

    /** Returns the logarithm of the evidence required for a share of the false-stop probability. */
    private double threshold(LossKind kind, int stage, double share, long window) {
        double probability = settings.falseStopProbability()
                * kind.falseStopShare()
                * share
                * seriesShare(stage + 1)
                * seriesShare(window);
        return -Math.log(probability);
    }

    private static double seriesShare(long number) {
        double scaled = Math.PI * number;
        return 6 / (scaled * scaled);
    }
}
