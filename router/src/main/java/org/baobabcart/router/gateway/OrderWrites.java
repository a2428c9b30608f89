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
import org.baobabcart.router.platform.ObjectFollower;

/**
 * Conditional writes of what has become of orders, one at a time for each order. Confined to the control thread.
 *
 * <p>Of several routers that write at once one wins, and the others read what it wrote.
 */
final class OrderWrites {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Longer than a write takes, so that an answer is waited for before the next try. */
    private static final Duration REWRITE = Duration.ofMillis(500);

    private final GatewayObjectCodec meaning;
    private final ObjectFollower.Parts parts;
    private final BiConsumer<StoredObject, StoredObject> listener;
    private final Map<String, PlannedWrite> planned = new HashMap<>();
    private final Set<String> writing = new HashSet<>();

    /** What this router writes of an order next, and when. */
    private record PlannedWrite(VersionOrder.State state, MoveStage stage, String reviewer, long atNanos) {
        boolean isFor(VersionOrder order) {
            return state == order.state()
                    && stage == order.progress().stage()
                    && reviewer.equals(order.progress().reviewer());
        }
    }

    private OrderWrites(
            GatewayObjectCodec meaning, ObjectFollower.Parts parts, BiConsumer<StoredObject, StoredObject> listener) {
        this.meaning = meaning;
        this.parts = parts;
        this.listener = listener;
    }

    /**
     * Writes of nothing yet.
     *
     * @param listener gets each object as it was read and as it was written
     */
    static OrderWrites create(
            GatewayObjectCodec meaning, ObjectFollower.Parts parts, BiConsumer<StoredObject, StoredObject> listener) {
        return new OrderWrites(meaning, parts, listener);
    }

    /** Forgets what was planned for an order. */
    void forget(String name) {
        planned.remove(name);
    }

    /** Forgets what was planned for all orders but these. */
    void retain(Set<String> names) {
        planned.keySet().retainAll(names);
    }

    /**
     * Writes an order unless such a write waits or is under way. To be called again and again for as long as it is wanted.
     *
     * @param before the object as it was read
     * @param spread the time over which routers that come to the same conclusion at one time spread their writes
     */
    void write(StoredObject before, VersionOrder order, Duration spread) {
        String name = before.name();
        if (writing.contains(name)) {
            return;
        }
        long now = parts.timers().nanoTime();
        PlannedWrite write = planned.get(name);
        if (write == null || !write.isFor(order)) {
            long delay = spread.isZero() ? 0 : parts.random().nextLong(spread.toNanos());
            write = plan(order, now + delay);
            planned.put(name, write);
        }
        if (now - write.atNanos() < 0) {
            return;
        }
        planned.put(name, plan(order, now + REWRITE.toNanos()));
        writing.add(name);
        parts.store()
                .updateStatus(before.withStatus(meaning.status(order)))
                .emitOn(parts.loop())
                .subscribe()
                .with(object -> written(before, object), failure -> notWritten(name, order, failure));
    }

    private static PlannedWrite plan(VersionOrder order, long atNanos) {
        return new PlannedWrite(
                order.state(), order.progress().stage(), order.progress().reviewer(), atNanos);
    }

    private void written(StoredObject before, StoredObject after) {
        writing.remove(after.name());
        planned.remove(after.name());
        listener.accept(before, after);
    }

    private void notWritten(String name, VersionOrder order, Throwable failure) {
        writing.remove(name);
        boolean conflict = failure instanceof BaobabcartException exception && exception.code() == ResultCode.CONFLICT;
        LOGGER.atInfo().log(
                "event=version_order_not_written service=%s state=%s conflict=%s cause=%s",
                order.service(), order.state(), conflict, failure.getMessage());
    }
}
