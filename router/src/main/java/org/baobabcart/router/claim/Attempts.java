package org.baobabcart.router.claim;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;
import org.baobabcart.policy.claim.Attempt;
import org.baobabcart.policy.claim.HeldClaimRule.ClaimantReport;

/** This node's attempts, by which it tells others what became of them. Thread-safe. */
final class Attempts {
    private static final long REMEMBERED_NANOS = 120_000_000_000L;
    private static final long LONGEST_RUN_NANOS = 3_600_000_000_000L;

    private final Map<String, Attempt> attempts = new ConcurrentHashMap<>();

    void begin(String attemptId, long nowNanos) {
        attempts.put(attemptId, Attempt.requested(nowNanos));
    }

    /** Notes that a grant has arrived; false where the attempt has been abandoned. */
    boolean granted(String attemptId, long nowNanos) {
        return change(attemptId, attempt -> attempt.at(nowNanos).granted())
                .filter(attempt -> attempt.state() == Attempt.State.GRANTED)
                .isPresent();
    }

    /** Whether the attempt may be sent now; true only once until it is returned. */
    boolean dispatch(String attemptId, long nowNanos) {
        boolean[] sent = {false};
        change(attemptId, attempt -> {
            Attempt next = attempt.dispatched(nowNanos);
            sent[0] = next.state() == Attempt.State.DISPATCHED && attempt.state() != Attempt.State.DISPATCHED;
            return next;
        });
        return sent[0];
    }

    void returned(String attemptId) {
        change(attemptId, Attempt::returned);
    }

    /** Gives an attempt up; false where it may have been sent. */
    boolean abandon(String attemptId) {
        return change(attemptId, Attempt::abandoned)
                .map(attempt -> attempt.state() == Attempt.State.ABANDONED)
                .orElse(true);
    }

    void notRun(String attemptId) {
        change(attemptId, Attempt::notRun);
    }

    void forget(String attemptId) {
        attempts.remove(attemptId);
    }

    ClaimantReport report(String attemptId, long nowNanos) {
        return change(attemptId, attempt -> attempt.at(nowNanos))
                .map(attempt -> switch (attempt.state()) {
                    case REQUESTED, GRANTED -> ClaimantReport.WAITING;
                    case DISPATCHED -> ClaimantReport.DISPATCHED;
                    case ABANDONED -> ClaimantReport.ABANDONED;
                })
                .orElse(ClaimantReport.UNSEEN);
    }

    /** Forgets attempts whose end is long past. */
    void trim(long nowNanos) {
        attempts.values().removeIf(attempt -> nowNanos - attempt.requestedNanos() > remembered(attempt));
    }

    private static long remembered(Attempt attempt) {
        return attempt.state() == Attempt.State.ABANDONED ? REMEMBERED_NANOS : LONGEST_RUN_NANOS;
    }

    private Optional<Attempt> change(String attemptId, UnaryOperator<Attempt> change) {
        return Optional.ofNullable(attempts.computeIfPresent(attemptId, (id, attempt) -> change.apply(attempt)));
    }
}
