package org.baobabcart.router.peer;

import io.smallrye.mutiny.Uni;
import org.baobabcart.wire.Exchange;
import org.baobabcart.wire.ProbeReply;
import org.baobabcart.wire.ProbeRequest;

/** Handles membership calls by other routers. Implementations are thread-safe. */
public interface MemberHandler {
    /** Processes an exchange and returns this node's own data. */
    Uni<Exchange> exchange(Exchange request);

    /** Probes a third router on behalf of the caller. */
    Uni<ProbeReply> probe(ProbeRequest request);
}
