package org.baobabcart.router.rollout;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.util.Optional;
import java.util.function.Consumer;
import org.baobabcart.model.platform.Kinds;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.request.RequestIds;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.router.sheet.SheetDocuments;

/**
 * Writes changes to the platform by conditional update, one at a time. Confined to the control thread.
 *
 * <p>The update against the version read is the fence: a router that was paused between reading and writing, or two that
 * both believe they control, cannot undo each other's changes. A failed write is not repeated here; the controller
 * proposes it again as long as its reason stands.
 */
final class RollOutWriter {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final RollOutParts parts;
    private final Consumer<StoredObject> written;
    private boolean writing;

    private RollOutWriter(RollOutParts parts, Consumer<StoredObject> written) {
        this.parts = parts;
        this.written = written;
    }

    /** A writer that tells of each object that it has written. */
    static RollOutWriter create(RollOutParts parts, Consumer<StoredObject> written) {
        return new RollOutWriter(parts, written);
    }

    /** Whether a write is under way. */
    boolean isBusy() {
        return writing;
    }

    /** Reads, changes and writes; completes in any case, on the control thread. */
    Uni<Void> write(RollOutChange change) {
        writing = true;
        return read().flatMap(object -> write(object, change))
                .emitOn(parts.loop())
                .invoke(stored -> stored.ifPresent(written))
                .onFailure()
                .invoke(RollOutWriter::logFailure)
                .onFailure()
                .recoverWithItem(Optional.empty())
                .emitOn(parts.loop())
                .invoke(ignored -> writing = false)
                .replaceWithVoid();
    }

    private Uni<StoredObject> read() {
        StoredObject fresh =
                StoredObject.fresh(Kinds.ROLL_OUTS, Kinds.CURRENT, SheetDocuments.write(RollOutState.empty()));
        return parts.store()
                .read(Kinds.ROLL_OUTS, Kinds.CURRENT)
                .onFailure(RollOutWriter::isMissing)
                .recoverWithItem(fresh);
    }

    private Uni<Optional<StoredObject>> write(StoredObject object, RollOutChange change) {
        RollOutState current = SheetDocuments.readRollOuts(object.spec());
        Optional<RollOutState> next = change.from(current, RequestIds.next());
        if (next.isEmpty()) {
            return Uni.createFrom().item(Optional.empty());
        }
        StoredObject changed = object.withSpec(SheetDocuments.write(next.get()));
        Uni<StoredObject> written = object.resourceVersion().isEmpty()
                ? parts.store().create(changed)
                : parts.store().update(changed);
        return written.map(Optional::of);
    }

    private static boolean isMissing(Throwable failure) {
        return failure instanceof BaobabcartException exception && exception.code() == ResultCode.NOT_FOUND;
    }

    private static void logFailure(Throwable failure) {
        LOGGER.atInfo().log("event=roll_out_write_failed reason=%s", failure.getMessage());
    }
}
