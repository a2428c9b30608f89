package org.baobabcart.router.claim;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import org.baobabcart.model.sheet.Service;

/**
 * Claims idempotency keys so that a call that must not be repeated runs at most once. Thread-safe.
 *
 * <p>The traffic path claims the key and calls {@link #beginDispatch} before it sends the first byte upstream, and
 * settles the claim afterwards.
 */
public interface ClaimService {
    /** Claims a key for one attempt. Completes within the time-out and never fails. */
    Uni<ClaimDecision> claim(ClaimCall call, Service service, Duration timeout);

    /**
     * Marks the attempt as dispatched. Returns false if the grant is too old or the attempt was abandoned; nothing may
     * be sent then. Never blocks.
     */
    boolean beginDispatch(String attemptId);

    /**
     * Reverts the dispatch because the upstream did not run the attempt, which may then be sent to another upstream.
     * Never blocks.
     */
    void cancelDispatch(String attemptId);

    /**
     * Stores the outcome. Completes when it is stored; fails if that takes too long, in which case storing continues in
     * the background.
     */
    Uni<Void> settle(ClaimCall call, ClaimOutcome outcome);
}
