package org.baobabcart.router.claim;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;
import org.baobabcart.policy.claim.Attempt;
import org.baobabcart.policy.claim.ClaimConflictDecision.ClaimantReport;

/** Tracks the state of this node's claim attempts, so that it can report it to other nodes. Thread-safe. */
final class AttemptRegistry {
    private static final long ABANDONED_RETENTION_NANOS = 120_000_000_000L;
    private static final long RETENTION_NANOS = 3_600_000_000_000L;

    private final Map<String, Attempt> attempts = new ConcurrentHashMap<>();

    void register(String attemptId, long nowNanos) {
        attempts.put(attemptId, Attempt.requested(nowNanos));
    }

    /** Records that a grant has arrived; returns false if the attempt has been abandoned or has already been sent. */
    boolean markGranted(String attemptId, long nowNanos) {
        return update(attemptId, attempt -> attempt.at(nowNanos).granted())
                .filter(attempt -> attempt.state() == Attempt.State.GRANTED)
                .isPresent();
    }

    /**
     * Marks the attempt as dispatched if it may be sent now. Returns true at most once until {@link #cancelDispatch} is
     * called.
     */
    boolean beginDispatch(String attemptId, long nowNanos) {
        boolean[] dispatched = {false};
        update(attemptId, attempt -> {
            Attempt next = attempt.dispatched(nowNanos);
            dispatched[0] = next.state() == Attempt.State.DISPATCHED && attempt.state() != Attempt.State.DISPATCHED;
            return next;
        });
        return dispatched[0];
    }

    /** Records that the upstream did not run the attempt, which may then be sent to another upstream. */
    void cancelDispatch(String attemptId) {
        update(attemptId, Attempt::returned);
    }

    /** Abandons an attempt; returns false if it may already have been sent. */
    boolean abandon(String attemptId) {
        return update(attemptId, Attempt::abandoned)
                .map(attempt -> attempt.state() == Attempt.State.ABANDONED)
                .orElse(true);
    }

    /** Marks the attempt as abandoned because no upstream received it. */
    void markNotRun(String attemptId) {
        update(attemptId, Attempt::notRun);
    }

    void remove(String attemptId) {
        attempts.remove(attemptId);
    }

    /** Returns the state of an attempt as reported to other nodes. */
    ClaimantReport report(String attemptId, long nowNanos) {
        return update(attemptId, attempt -> attempt.at(nowNanos))
                .map(attempt -> switch (attempt.state()) {
                    case REQUESTED, GRANTED -> ClaimantReport.WAITING;
                    case DISPATCHED -> ClaimantReport.DISPATCHED;
                    case ABANDONED -> ClaimantReport.ABANDONED;
                })
                .orElse(ClaimantReport.UNSEEN);
    }

    /** Removes attempts that are older than their retention time. */
    void removeExpired(long nowNanos) {
        attempts.values().removeIf(attempt -> nowNanos - attempt.requestedNanos() > retentionNanos(attempt));
    }

    private static long retentionNanos(Attempt attempt) {
        return attempt.state() == Attempt.State.ABANDONED ? ABANDONED_RETENTION_NANOS : RETENTION_NANOS;
    }

    private Optional<Attempt> update(String attemptId, UnaryOperator<Attempt> change) {
        return Optional.ofNullable(attempts.computeIfPresent(attemptId, (id, attempt) -> change.apply(attempt)));
    }
}
