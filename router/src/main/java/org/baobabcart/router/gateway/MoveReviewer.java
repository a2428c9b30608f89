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
 * Reviews the moves that name this router as their reviewer. Confined to the control thread.
 *
 * <p>A move has one reviewer at a time: the router whose conditional write named itself last. A reviewer that was paused meanwhile finds
 * its next write refused, and reads there who reviews now.
 */
final class MoveReviewer {
    /** How long other routers may hear nothing of a move before one of them reviews it. */
    static final Duration SILENCE = Duration.ofSeconds(3);

    private static final Duration REVIEW_PERIOD = Duration.ofMillis(400);
    /** Below the silence by more than a write takes. */
    private static final Duration CONFIRMATION = Duration.ofSeconds(2);

    private final String router;
    private final EvidenceExchange exchange;
    private final VersionMoveSchedule move;
    private final MoveReviewPolicy review;
    private final Map<String, Review> reviews = new HashMap<>();

    /**
     * A move under review.
     *
     * @param stage the stage that is in force
     * @param atStep what was known when it came into force, or when this router began to review
     * @param dueNanos when to decide next
     * @param confirmNanos when to tell the others that it is still reviewed
     */
    private record Review(MoveStage stage, ServiceEvidence atStep, long dueNanos, long confirmNanos) {}

    private MoveReviewer(String router, EvidenceExchange exchange, VersionMoveSchedule move) {
        this.router = router;
        this.exchange = exchange;
        this.move = move;
        this.review = new MoveReviewPolicy(move);
    }

    static MoveReviewer create(String router, EvidenceExchange exchange, VersionMoveSchedule move) {
        return new MoveReviewer(router, exchange, move);
    }

    /** What this router's own evidence says of the target of an order. */
    VersionJudgement judge(TrackedVersionOrder followed, ServiceEvidence own, long now) {
        return review.judge(followed, own, now);
    }

    /** Whether this router reviews an order. */
    boolean isReviewer(VersionOrder order) {
        return !order.state().ended() && order.progress().reviewer().equals(router);
    }

    /** Forgets an order that this router no longer reviews. */
    void leave(VersionOrder order) {
        if (reviews.remove(order.service()) == null) {
            return;
        }
        if (order.state().ended()) {
            exchange.removeOutdated(order);
        }
        stopReadingIfIdle();
    }

    /** Forgets the orders of all services but these. */
    void retain(Set<String> services) {
        reviews.keySet().retainAll(services);
        stopReadingIfIdle();
    }

    private void stopReadingIfIdle() {
        if (reviews.isEmpty()) {
            exchange.stopReading();
        }
    }

    /** What is to be written of an order that this router reviews, with the reason; empty for nothing yet. */
    Optional<MoveDecision> decide(TrackedVersionOrder followed, long now) {
        exchange.startReading();
        if (!exchange.isKnown()) {
            return Optional.empty();
        }
        String service = followed.order().service();
        Review before = reviews.get(service);
        MoveStage inForce = inForce(followed, before, now);
        boolean isStep = before == null || before.stage() != inForce;
        if (!isStep && now - before.dueNanos() < 0) {
            return Optional.empty();
        }
        ServiceEvidence evidence = exchange.pooled(followed.order());
        Review current = isStep ? new Review(inForce, evidence, now, now + CONFIRMATION.toNanos()) : before;
        MoveDecision decision = review.decide(followed, evidence, evidence.minus(current.atStep()), now);
        boolean isNews = !decision.order().equals(followed.order());
        boolean isConfirmationDue = now - current.confirmNanos() >= 0;
        long confirmNanos = isNews || isConfirmationDue ? now + CONFIRMATION.toNanos() : current.confirmNanos();
        reviews.put(service, new Review(inForce, current.atStep(), now + REVIEW_PERIOD.toNanos(), confirmNanos));
        if (isNews) {
            return Optional.of(decision);
        }
        return isConfirmationDue
                ? Optional.of(new MoveDecision(taken(followed, now), decision.reason()))
                : Optional.empty();
    }

    private static MoveStage inForce(TrackedVersionOrder followed, Review before, long now) {
        boolean hasBegun = followed.progress(now) >= followed.order().progress().from();
        return hasBegun || before == null ? followed.order().progress().stage() : before.stage();
    }

    /** The order, reviewed by this router from now on or still. */
    VersionOrder taken(TrackedVersionOrder followed, long now) {
        VersionOrder order = followed.order();
        return order.withProgress(order.progress().withReviewer(router, followed.progress(now)));
    }

    /** The order at the beginning of its trial, reviewed by this router. */
    VersionOrder tried(TrackedVersionOrder followed, long now) {
        return followed.order().withProgress(move.trialProgress(router, followed.progress(now)));
    }
}
