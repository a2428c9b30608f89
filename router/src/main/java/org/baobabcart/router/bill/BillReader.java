package org.baobabcart.router.bill;

import io.smallrye.mutiny.Uni;
import org.baobabcart.model.platform.ObjectKinds;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.policy.bill.BillLedger;
import org.baobabcart.router.platform.ObjectStore;

/** Reads committed bills from the platform. Thread-safe. */
public final class BillReader {
    private final ObjectStore store;

    private BillReader(ObjectStore store) {
        this.store = store;
    }

    /** Creates a reader of the given store. */
    public static BillReader create(ObjectStore store) {
        return new BillReader(store);
    }

    /** Reads all committed bills, one for each request. */
    public Uni<BillLedger> ledger() {
        return store.list(ObjectKinds.BILLS)
                .map(objects -> BillLedger.of(objects.stream()
                        .map(StoredObject::requireReadable)
                        .map(BillCodec::toSegment)
                        .toList()));
    }
}
