package org.baobabcart.router.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.baobabcart.model.gateway.MoveStage;
import org.baobabcart.model.gateway.VersionOrder;
import org.baobabcart.policy.version.MoveDecision;
import org.baobabcart.policy.version.MoveReviewPolicy;
import org.baobabcart.policy.version.ServiceEvidence;
import org.baobabcart.policy.version.TrackedVersionOrder;
import org.baobabcart.policy.version.VersionJudgement;
import org.baobabcart.policy.version.VersionMoveSchedule;

/**
 * Reviews the moves whose status names this router as reviewer. Confined to the control thread.
 *
 * <p>A move has one reviewer at a time: the router that last wrote its own name into the status by a conditional write. If a
 * reviewer was suspended and replaced, its next write fails with a conflict, and it reads the name of the new reviewer.
 */
final class MoveReviewer {
    /** How long the status of a move may remain unchanged before another router takes over its review. */
    static final Duration TAKEOVER_TIMEOUT = Duration.ofSeconds(3);

    private static final Duration REVIEW_PERIOD = Duration.ofMillis(400);
    /** Shorter than the takeover timeout by more than the duration of a write. */
    private static final Duration CONFIRMATION_PERIOD = Duration.ofSeconds(2);

    private final String router;
    private final EvidenceExchange evidenceExchange;
    private final VersionMoveSchedule schedule;
    private final MoveReviewPolicy policy;
    private final Map<String, Review> reviews = new HashMap<>();

    /**
     * State of a move under review.
     *
     * @param stage the stage in force
     * @param evidenceAtStage the evidence at the time when the stage came into force, or when this router began to review
     * @param dueNanos the time of the next decision
     * @param confirmNanos the time of the next write that confirms to other routers that the move is still reviewed
     */
    private record Review(MoveStage stage, ServiceEvidence evidenceAtStage, long dueNanos, long confirmNanos) {}

    private MoveReviewer(String router, EvidenceExchange evidenceExchange, VersionMoveSchedule schedule) {
        this.router = router;
        this.evidenceExchange = evidenceExchange;
        this.schedule = schedule;
        this.policy = new MoveReviewPolicy(schedule);
    }

    static MoveReviewer create(String router, EvidenceExchange evidenceExchange, VersionMoveSchedule schedule) {
        return new MoveReviewer(router, evidenceExchange, schedule);
    }

    /** Judges the target of an order by this router's own evidence. */
    VersionJudgement judge(TrackedVersionOrder tracked, ServiceEvidence own, long now) {
        return policy.judge(tracked, own, now);
    }

    /** Returns whether this router reviews an order. */
    boolean isReviewer(VersionOrder order) {
        return !order.state().ended() && order.progress().reviewer().equals(router);
    }

    /** Drops the state of an order that this router no longer reviews; does nothing for one it did not review. */
    void stopReview(VersionOrder order) {
        if (reviews.remove(order.service()) == null) {
            return;
        }
        if (order.state().ended()) {
            evidenceExchange.removeOutdated(order);
        }
        stopReadingIfIdle();
    }

    /** Drops the state of the orders of all services except these. */
    void retain(Set<String> services) {
        reviews.keySet().retainAll(services);
        stopReadingIfIdle();
    }

    private void stopReadingIfIdle() {
        if (reviews.isEmpty()) {
            evidenceExchange.stopReading();
        }
    }

    /** Returns what to write for an order that this router reviews, with the reason; empty if nothing is to be written yet. */
    Optional<MoveDecision> decide(TrackedVersionOrder tracked, long now) {
        evidenceExchange.startReading();
        if (!evidenceExchange.isSynced()) {
            return Optional.empty();
        }
        String service = tracked.order().service();
        Review before = reviews.get(service);
        MoveStage stageInForce = stageInForce(tracked, before, now);
        boolean isNewStage = before == null || before.stage() != stageInForce;
        if (!isNewStage && now - before.dueNanos() < 0) {
            return Optional.empty();
        }
        ServiceEvidence evidence = evidenceExchange.pooled(tracked.order());
        Review current =
                isNewStage ? new Review(stageInForce, evidence, now, now + CONFIRMATION_PERIOD.toNanos()) : before;
        MoveDecision decision = policy.decide(tracked, evidence, evidence.minus(current.evidenceAtStage()), now);
        boolean isChanged = !decision.order().equals(tracked.order());
        boolean isConfirmationDue = now - current.confirmNanos() >= 0;
        long confirmNanos =
                isChanged || isConfirmationDue ? now + CONFIRMATION_PERIOD.toNanos() : current.confirmNanos();
        reviews.put(
                service,
                new Review(stageInForce, current.evidenceAtStage(), now + REVIEW_PERIOD.toNanos(), confirmNanos));
        if (isChanged) {
            return Optional.of(decision);
        }
        return isConfirmationDue
                ? Optional.of(new MoveDecision(withReviewer(tracked, now), decision.reason()))
                : Optional.empty();
    }

    private static MoveStage stageInForce(TrackedVersionOrder tracked, Review before, long now) {
        boolean hasBegun = tracked.progress(now) >= tracked.order().progress().effectiveFrom();
        return hasBegun || before == null ? tracked.order().progress().stage() : before.stage();
    }

    /** Returns the order with this router as reviewer and its current progress. */
    VersionOrder withReviewer(TrackedVersionOrder tracked, long now) {
        VersionOrder order = tracked.order();
        return order.withProgress(order.progress().withReviewer(router, tracked.progress(now)));
    }

    /** Returns the order at the start of its trial, with this router as reviewer. */
    VersionOrder withTrialStarted(TrackedVersionOrder tracked, long now) {
        return tracked.order().withProgress(schedule.trialProgress(router, tracked.progress(now)));
    }
}
