package org.baobabcart.policy.version;

import org.baobabcart.model.gateway.MoveStage;
import org.baobabcart.model.gateway.VersionOrder;

/**
 * Decides the next step of a version move from the pooled evidence of all routers. Immutable and thread-safe.
 *
 * <p>Evidence has to be pooled because a single router of a large fleet receives too few answers from the target to
 * judge it. Time alone never advances a move: a step requires that the target was found sound since the previous step,
 * and a target that is still suspect at the decision deadline is withdrawn. A target that has received almost no
 * requests by then gets all of them, since so few requests are within the tolerated exposure anyway.
 *
 * @param schedule the schedule of shares and stages
 */
public record MoveReviewPolicy(VersionMoveSchedule schedule) {
    /**
     * Returns the order as it should be stored after this review.
     *
     * @param evidence the evidence of all routers since the trial began
     * @param stepEvidence the part of the evidence since the announced step took effect
     */
    public MoveDecision decide(
            TrackedVersionOrder tracked, ServiceEvidence evidence, ServiceEvidence stepEvidence, long nowNanos) {
        VersionOrder order = tracked.order();
        double progress = tracked.progress(nowNanos);
        boolean isInEffect = progress >= order.progress().effectiveFrom();
        VersionJudgement overall = judge(tracked, evidence, nowNanos);
        VersionJudgement recent = judge(tracked, stepEvidence, nowNanos);
        if (overall.verdict() == VersionVerdict.BAD) {
            return withdrawn(order, overall);
        }
        if (recent.verdict() == VersionVerdict.BAD) {
            return withdrawn(order, recent);
        }
        if (schedule.isComplete(tracked, nowNanos)) {
            return new MoveDecision(order.withState(VersionOrder.State.COMPLETED), overall.reason());
        }
        if (isInEffect && isSound(order, overall, recent) && schedule.mayStep(order, progress)) {
            return new MoveDecision(order.withProgress(schedule.nextStep(order, progress)), overall.reason());
        }
        if (!schedule.isDecisionDue(order, progress)) {
            return new MoveDecision(order, overall.reason());
        }
        return isSuspect(overall) || isSuspect(recent)
                ? withdrawn(order, isSuspect(overall) ? overall : recent)
                : new MoveDecision(order.withProgress(schedule.finalStep(order, progress)), overall.reason());
    }

    /**
     * Judges the target of an order by the given evidence. Latencies are not compared once the target serves all
     * requests.
     */
    public VersionJudgement judge(TrackedVersionOrder tracked, ServiceEvidence evidence, long nowNanos) {
        VersionOrder order = tracked.order();
        boolean servesAlone = order.progress().stage() == MoveStage.ALL
                && tracked.progress(nowNanos) >= order.progress().effectiveFrom();
        return servesAlone
                ? VersionJudge.judgeFailures(evidence, order.target())
                : VersionJudge.judge(evidence, order.target());
    }

    /**
     * During the trial the overall evidence suffices; later steps also require that the evidence since the last step is
     * sound.
     */
    private static boolean isSound(VersionOrder order, VersionJudgement overall, VersionJudgement recent) {
        boolean isTrial = order.progress().stage() == MoveStage.TRIAL;
        return overall.verdict() == VersionVerdict.SOUND && (isTrial || recent.verdict() == VersionVerdict.SOUND);
    }

    private static boolean isSuspect(VersionJudgement judgement) {
        return judgement.verdict() == VersionVerdict.SUSPECT;
    }

    private static MoveDecision withdrawn(VersionOrder order, VersionJudgement judgement) {
        return new MoveDecision(order.withState(VersionOrder.State.WITHDRAWN), judgement.reason());
    }
}
