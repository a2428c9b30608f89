package org.baobabcart.router.traffic;

import io.vertx.core.Future;
import org.baobabcart.model.request.Bill;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;

/** Hands bills to the bill service from event loops. */
final class Holding {
    private Holding() {}

    /** Completes on the calling event loop when the bill is held; never fails, so that no answer is lost for a bill. */
    static Future<Void> hold(TrafficRuntime runtime, Bill bill) {
        return Future.fromCompletionStage(
                        runtime.parts().bills().hold(bill).subscribeAsCompletionStage(),
                        runtime.vertx().getOrCreateContext())
                .onSuccess(holder -> runtime.parts()
                        .timeline()
                        .record(
                                EventType.BILL_HELD,
                                bill.requestId(),
                                EventFields.of(EventField.HOLDER, holder.name())))
                .<Void>mapEmpty()
                .otherwiseEmpty();
    }
}
