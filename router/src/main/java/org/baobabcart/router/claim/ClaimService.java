package org.baobabcart.router.claim;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import org.baobabcart.model.sheet.Service;

/**
 * Claims idempotency keys so that a call that may not be repeated runs at most once. Thread-safe.
 *
 * <p>Before the first byte goes upstream the traffic path claims the key and calls {@link #dispatching}; afterwards it
 * settles the claim.
 */
public interface ClaimService {
    /** Claims a key for one attempt; always ends by the time-out and never fails. */
    Uni<ClaimDecision> claim(ClaimCall call, Service service, Duration timeout);

    /**
     * Marks the attempt as about to be sent; false where the grant is too old or was abandoned, and then nothing may be
     * sent. Never blocks.
     */
    boolean dispatching(String attemptId);

    /** States that the upstream did not run the attempt, which may then be sent to another one. Never blocks. */
    void returned(String attemptId);

    /** Stores the outcome; completes when it is stored, or fails when that could not be done in time. */
    Uni<Void> settle(ClaimCall call, ClaimOutcome outcome);
}
