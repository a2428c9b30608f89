package org.baobabcart.router.bill;

import io.smallrye.mutiny.Uni;
import org.baobabcart.model.request.Bill;

/** Stores bills outside this VM, so that they survive its loss. Thread-safe. */
public interface BillService {
    /**
     * Passes a bill to a second VM or to the platform. The traffic path waits for completion before it sends the last
     * byte. Completes when a second VM or the platform holds the bill; if neither can be reached in time, the bill is
     * kept in this process and the call completes as well.
     */
    Uni<BillHolder> hold(Bill bill);

    /** The holder of a bill other than this process. */
    enum BillHolder {
        PEER,
        PLATFORM,
        NOBODY
    }
}
