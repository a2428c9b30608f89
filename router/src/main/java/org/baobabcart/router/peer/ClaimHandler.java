package org.baobabcart.router.peer;

import io.smallrye.mutiny.Uni;
import org.baobabcart.wire.AttemptReply;
import org.baobabcart.wire.AttemptRequest;
import org.baobabcart.wire.ClaimReply;
import org.baobabcart.wire.ClaimRequest;
import org.baobabcart.wire.SettleReply;
import org.baobabcart.wire.SettleRequest;

/** Handles claims of idempotency keys by other routers. Implementations are thread-safe. */
public interface ClaimHandler {
    /** Claims a key of a partition that this node owns. */
    Uni<ClaimReply> claim(ClaimRequest request);

    /** Records the outcome of an attempt. */
    Uni<SettleReply> settle(SettleRequest request);

    /** Returns the state of an attempt of this node. */
    Uni<AttemptReply> attemptState(AttemptRequest request);
}
