package org.baobabcart.router.peer;

import io.smallrye.mutiny.Uni;
import org.baobabcart.wire.HoldReply;
import org.baobabcart.wire.HoldRequest;
import org.baobabcart.wire.ReleaseReply;
import org.baobabcart.wire.ReleaseRequest;

/** Holds bills for other routers. Implementations are thread-safe. */
public interface BillHandler {
    /** Holds bills until they are released or committed from here. */
    Uni<HoldReply> holdBills(HoldRequest request);

    /** Forgets bills that the platform now holds. */
    Uni<ReleaseReply> releaseBills(ReleaseRequest request);
}
