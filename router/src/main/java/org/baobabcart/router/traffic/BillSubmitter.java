package org.baobabcart.router.traffic;

import io.vertx.core.Future;
import org.baobabcart.model.request.Bill;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;

/** Submits bills to the bill service from event loops. */
final class BillSubmitter {
    private BillSubmitter() {}

    /**
     * Submits a bill; completes on the calling event loop when a holder has stored it. Never fails, so that a response
     * is delivered even if its bill is lost.
     */
    static Future<Void> submit(TrafficRuntime runtime, Bill bill) {
        return Future.fromCompletionStage(
                        runtime.dependencies().bills().hold(bill).subscribeAsCompletionStage(),
                        runtime.vertx().getOrCreateContext())
                .onSuccess(holder -> runtime.dependencies()
                        .timeline()
                        .record(
                                EventType.BILL_HELD,
                                bill.requestId(),
                                EventFields.of(EventField.HOLDER, holder.name())))
                .<Void>mapEmpty()
                .otherwiseEmpty();
    }
}
