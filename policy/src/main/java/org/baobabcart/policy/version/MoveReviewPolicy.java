package org.baobabcart.policy.version;

import org.baobabcart.model.gateway.MoveStage;
import org.baobabcart.model.gateway.VersionOrder;

/**
 * Decides on the next step of a move by what all routers have seen of its target. Immutable and thread-safe.
 *
 * <p>The load that it answers: a fleet of any size, each router of which sees too few answers of the target to judge it. Nothing is
 * moved on by the clock alone: a step is taken when the target was found sound since the step before, and a target that is under
 * suspicion when the decision is due is withdrawn. Where hardly any request has met the target by then, it gets all of them: so few
 * are within the exposure that is tolerated in any case.
 *
 * @param move the shares and times of the steps
 */
public record MoveReviewPolicy(VersionMoveSchedule move) {
    /**
     * What becomes of an order now.
     *
     * @param evidence what all routers have seen since the trial began
     * @param stepEvidence the part of it that was seen since the announced step came into force
     */
    public MoveDecision decide(
            TrackedVersionOrder tracked, ServiceEvidence evidence, ServiceEvidence stepEvidence, long nowNanos) {
        VersionOrder order = tracked.order();
        double progress = tracked.progress(nowNanos);
        boolean isInEffect = progress >= order.progress().from();
        VersionJudgement overall = judge(tracked, evidence, nowNanos);
        VersionJudgement recent = judge(tracked, stepEvidence, nowNanos);
        if (overall.verdict() == VersionVerdict.BAD) {
            return withdrawn(order, overall);
        }
        if (recent.verdict() == VersionVerdict.BAD) {
            return withdrawn(order, recent);
        }
        if (move.isComplete(tracked, nowNanos)) {
            return new MoveDecision(order.withState(VersionOrder.State.COMPLETED), overall.reason());
        }
        if (isInEffect && isSound(order, overall, recent) && move.mayStep(order, progress)) {
            return new MoveDecision(order.withProgress(move.nextStep(order, progress)), overall.reason());
        }
        if (!move.isDecisionDue(order, progress)) {
            return new MoveDecision(order, overall.reason());
        }
        return isSuspect(overall) || isSuspect(recent)
                ? withdrawn(order, isSuspect(overall) ? overall : recent)
                : new MoveDecision(order.withProgress(move.finalStep(order, progress)), overall.reason());
    }

    /** What evidence says of the target of an order, by itself. */
    public VersionJudgement judge(TrackedVersionOrder tracked, ServiceEvidence evidence, long nowNanos) {
        VersionOrder order = tracked.order();
        boolean servesAlone = order.progress().stage() == MoveStage.ALL
                && tracked.progress(nowNanos) >= order.progress().from();
        return servesAlone
                ? VersionJudge.judgeFailures(evidence, order.target())
                : VersionJudge.judge(evidence, order.target());
    }

    /** The trial has only its own evidence; a later step needs new evidence besides. */
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
