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
public record MoveReview(VersionMove move) {
    /**
     * What becomes of an order now.
     *
     * @param evidence what all routers have seen since the trial began
     * @param sinceStep the part of it that was seen since the announced step came into force
     */
    public MoveDecision decide(
            FollowedOrder followed, ServiceEvidence evidence, ServiceEvidence sinceStep, long nowNanos) {
        VersionOrder order = followed.order();
        double progress = followed.progress(nowNanos);
        boolean isInForce = progress >= order.progress().from();
        VersionJudgement whole = judge(followed, evidence, nowNanos);
        VersionJudgement latest = judge(followed, sinceStep, nowNanos);
        if (whole.verdict() == VersionVerdict.BAD) {
            return withdrawn(order, whole);
        }
        if (latest.verdict() == VersionVerdict.BAD) {
            return withdrawn(order, latest);
        }
        if (move.isComplete(followed, nowNanos)) {
            return new MoveDecision(order.withState(VersionOrder.State.COMPLETED), whole.reason());
        }
        if (isInForce && isSound(order, whole, latest) && move.mayStep(order, progress)) {
            return new MoveDecision(order.withProgress(move.next(order, progress)), whole.reason());
        }
        if (!move.isDecisionDue(order, progress)) {
            return new MoveDecision(order, whole.reason());
        }
        return isSuspect(whole) || isSuspect(latest)
                ? withdrawn(order, isSuspect(whole) ? whole : latest)
                : new MoveDecision(order.withProgress(move.all(order, progress)), whole.reason());
    }

    /** What evidence says of the target of an order, by itself. */
    public VersionJudgement judge(FollowedOrder followed, ServiceEvidence evidence, long nowNanos) {
        VersionOrder order = followed.order();
        boolean isAlone = order.progress().stage() == MoveStage.ALL
                && followed.progress(nowNanos) >= order.progress().from();
        return isAlone
                ? VersionJudge.judgeFailures(evidence, order.target())
                : VersionJudge.judge(evidence, order.target());
    }

    /** The trial has only its own evidence; a later step needs new evidence besides. */
    private static boolean isSound(VersionOrder order, VersionJudgement whole, VersionJudgement latest) {
        boolean isTrial = order.progress().stage() == MoveStage.TRIAL;
        return whole.verdict() == VersionVerdict.SOUND && (isTrial || latest.verdict() == VersionVerdict.SOUND);
    }

    private static boolean isSuspect(VersionJudgement judgement) {
        return judgement.verdict() == VersionVerdict.SUSPECT;
    }

    private static MoveDecision withdrawn(VersionOrder order, VersionJudgement judgement) {
        return new MoveDecision(order.withState(VersionOrder.State.WITHDRAWN), judgement.reason());
    }
}
