package org.baobabcart.router;

import io.smallrye.mutiny.Uni;
import org.baobabcart.model.request.Bill;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.bill.BillService;
import org.baobabcart.router.peer.BillHandler;
import org.baobabcart.wire.HoldReply;
import org.baobabcart.wire.HoldRequest;
import org.baobabcart.wire.ReleaseReply;
import org.baobabcart.wire.ReleaseRequest;

/** Keeps no bills: stands in the assembly until the bill service does. Thread-safe. */
final class NoBills implements BillService, BillHandler {
    @Override
    public Uni<BillHolder> hold(Bill bill) {
        return Uni.createFrom().item(BillHolder.NOBODY);
    }

    @Override
    public Uni<HoldReply> holdBills(HoldRequest request) {
        return Uni.createFrom().failure(BaobabcartException.of(ResultCode.NOT_READY));
    }

    @Override
    public Uni<ReleaseReply> releaseBills(ReleaseRequest request) {
        return Uni.createFrom().failure(BaobabcartException.of(ResultCode.NOT_READY));
    }
}
