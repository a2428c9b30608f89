package org.baobabcart.router.peer;

import io.smallrye.mutiny.Uni;
import org.baobabcart.wire.HoldReply;
import org.baobabcart.wire.HoldRequest;
import org.baobabcart.wire.ReleaseReply;
import org.baobabcart.wire.ReleaseRequest;

/** Handles calls by which other routers store copies of bills here. Implementations are thread-safe. */
public interface BillHandler {
    /** Stores bills until they are released, or committed by this router. */
    Uni<HoldReply> holdBills(HoldRequest request);

    /** Removes bills that the platform has stored. */
    Uni<ReleaseReply> releaseBills(ReleaseRequest request);
}
