package org.baobabcart.router.peer;

import io.smallrye.mutiny.Uni;
import org.baobabcart.wire.Exchange;
import org.baobabcart.wire.ProbeReply;
import org.baobabcart.wire.ProbeRequest;

/** Serves the membership calls of other routers. Implementations are thread-safe. */
public interface MemberHandler {
    /** Answers an exchange with what this node knows. */
    Uni<Exchange> exchange(Exchange request);

    /** Probes a third router for the caller. */
    Uni<ProbeReply> probe(ProbeRequest request);
}
