package org.baobabcart.router.rollout;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.util.Optional;
import java.util.function.Consumer;
import org.baobabcart.model.platform.ObjectKinds;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.request.RequestIds;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.router.sheet.SheetDocuments;

/**
 * Writes changes to the platform by conditional update, one at a time. Confined to the control thread.
 *
 * <p>The update is conditional on the version that was read, which provides the fencing: a router that was paused
 * between reading and writing cannot undo a later change, nor can two routers that both consider themselves the
 * controller overwrite each other. A failed write is not retried here; the controller proposes the change again while
 * it still applies.
 */
final class RollOutWriter {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final RollOutDependencies dependencies;
    private final Consumer<StoredObject> writeListener;
    private boolean writeInProgress;

    private RollOutWriter(RollOutDependencies dependencies, Consumer<StoredObject> writeListener) {
        this.dependencies = dependencies;
        this.writeListener = writeListener;
    }

    /** Creates a writer that passes each written object to a listener. */
    static RollOutWriter create(RollOutDependencies dependencies, Consumer<StoredObject> writeListener) {
        return new RollOutWriter(dependencies, writeListener);
    }

    /** Returns whether a write is in progress. */
    boolean isBusy() {
        return writeInProgress;
    }

    /** Reads the state, applies the change and writes the result. Always completes, on the control thread. */
    Uni<Void> write(RollOutChange change) {
        writeInProgress = true;
        return read().flatMap(object -> write(object, change))
                .emitOn(dependencies.loop())
                .invoke(stored -> stored.ifPresent(writeListener))
                .onFailure()
                .invoke(RollOutWriter::logFailure)
                .onFailure()
                .recoverWithItem(Optional.empty())
                .emitOn(dependencies.loop())
                .invoke(ignored -> writeInProgress = false)
                .replaceWithVoid();
    }

    private Uni<StoredObject> read() {
        StoredObject empty = StoredObject.create(
                ObjectKinds.ROLL_OUTS, ObjectKinds.CURRENT, SheetDocuments.write(RollOutState.empty()));
        return dependencies
                .store()
                .read(ObjectKinds.ROLL_OUTS, ObjectKinds.CURRENT)
                .onFailure(RollOutWriter::isNotFound)
                .recoverWithItem(empty);
    }

    private Uni<Optional<StoredObject>> write(StoredObject object, RollOutChange change) {
        RollOutState current = SheetDocuments.readRollOuts(object.spec());
        Optional<RollOutState> next = change.apply(current, RequestIds.next());
        if (next.isEmpty()) {
            return Uni.createFrom().item(Optional.empty());
        }
        StoredObject changed = object.withSpec(SheetDocuments.write(next.get()));
        Uni<StoredObject> written = object.resourceVersion().isEmpty()
                ? dependencies.store().create(changed)
                : dependencies.store().update(changed);
        return written.map(Optional::of);
    }

    private static boolean isNotFound(Throwable failure) {
        return failure instanceof BaobabcartException exception && exception.code() == ResultCode.NOT_FOUND;
    }

    private static void logFailure(Throwable failure) {
        LOGGER.atInfo().log("event=roll_out_write_failed reason=%s", failure.getMessage());
    }
}
