package org.baobabcart.router.bill;

import io.smallrye.mutiny.Uni;
import org.baobabcart.model.request.Bill;

/** Keeps bills beyond the life of this VM. Thread-safe. */
public interface BillService {
    /**
     * Hands a bill to a second VM or to the platform. Completes when one of them holds it, which the traffic path awaits
     * before it sends the last byte; when neither can be reached in time the bill is kept here and the call completes
     * as well.
     */
    Uni<BillHolder> hold(Bill bill);

    /** Who holds a bill besides this process. */
    enum BillHolder {
        PEER,
        PLATFORM,
        NOBODY
    }
}
