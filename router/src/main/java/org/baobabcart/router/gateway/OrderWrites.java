package org.baobabcart.router.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.baobabcart.model.gateway.MoveStage;
import org.baobabcart.model.gateway.VersionOrder;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.platform.ObjectInformer;

/**
 * Writes the status of orders conditionally, with at most one write in flight per order. Confined to the control thread.
 *
 * <p>If several routers write at the same time, one write succeeds and the other routers read its result.
 */
final class OrderWrites {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Longer than a write takes, so that a retry is not due before the result of the previous write has arrived. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final GatewayObjectCodec objectCodec;
    private final ObjectInformer.Dependencies dependencies;
    private final BiConsumer<StoredObject, StoredObject> listener;
    private final Map<String, PlannedWrite> plannedWrites = new HashMap<>();
    private final Set<String> pendingWrites = new HashSet<>();

    /** The next write of an order's status by this router, and its time. */
    private record PlannedWrite(VersionOrder.State state, MoveStage stage, String reviewer, long atNanos) {
        boolean isFor(VersionOrder order) {
            return state == order.state()
                    && stage == order.progress().stage()
                    && reviewer.equals(order.progress().reviewer());
        }
    }

    private OrderWrites(
            GatewayObjectCodec objectCodec,
            ObjectInformer.Dependencies dependencies,
            BiConsumer<StoredObject, StoredObject> listener) {
        this.objectCodec = objectCodec;
        this.dependencies = dependencies;
        this.listener = listener;
    }

    /**
     * Creates an instance without planned writes.
     *
     * @param listener called after each write with the object as it was read and as it was written
     */
    static OrderWrites create(
            GatewayObjectCodec objectCodec,
            ObjectInformer.Dependencies dependencies,
            BiConsumer<StoredObject, StoredObject> listener) {
        return new OrderWrites(objectCodec, dependencies, listener);
    }

    /** Cancels the planned write of an order. */
    void cancel(String name) {
        plannedWrites.remove(name);
    }

    /** Cancels the planned writes of all orders except these. */
    void retain(Set<String> names) {
        plannedWrites.keySet().retainAll(names);
    }

    /**
     * Plans the write of an order's status, or sends it if it is due and no write of the order is in flight. Must be called
     * repeatedly until the write has taken effect.
     *
     * @param before the object as it was read
     * @param spread the interval over which writes are randomly delayed, since several routers may decide the same at once
     */
    void write(StoredObject before, VersionOrder order, Duration spread) {
        String name = before.name();
        if (pendingWrites.contains(name)) {
            return;
        }
        long now = dependencies.timers().nanoTime();
        PlannedWrite write = plannedWrites.get(name);
        if (write == null || !write.isFor(order)) {
            long delay = spread.isZero() ? 0 : dependencies.random().nextLong(spread.toNanos());
            write = plan(order, now + delay);
            plannedWrites.put(name, write);
        }
        if (now - write.atNanos() < 0) {
            return;
        }
        plannedWrites.put(name, plan(order, now + RETRY_DELAY.toNanos()));
        pendingWrites.add(name);
        dependencies
                .store()
                .updateStatus(before.withStatus(objectCodec.status(order)))
                .emitOn(dependencies.loop())
                .subscribe()
                .with(object -> onWritten(before, object), failure -> onWriteFailed(name, order, failure));
    }

    private static PlannedWrite plan(VersionOrder order, long atNanos) {
        return new PlannedWrite(
                order.state(), order.progress().stage(), order.progress().reviewer(), atNanos);
    }

    private void onWritten(StoredObject before, StoredObject after) {
        pendingWrites.remove(after.name());
        plannedWrites.remove(after.name());
        listener.accept(before, after);
    }

    private void onWriteFailed(String name, VersionOrder order, Throwable failure) {
        pendingWrites.remove(name);
        boolean conflict = failure instanceof BaobabcartException exception && exception.code() == ResultCode.CONFLICT;
        LOGGER.atInfo().log(
                "event=version_order_not_written service=%s state=%s conflict=%s cause=%s",
                order.service(), order.state(), conflict, failure.getMessage());
    }
}
