package org.baobabcart.router.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/**
 * Writes one object of the platform's store of which this process is the only regular writer. Confined to the control thread.
 *
 * <p>One write is under way at a time. After a write whose outcome is unknown, or if the object was created, changed or removed by
 * another writer, the object is read again; the next write then starts from what was read.
 */
public final class OwnedObjectWriter {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ObjectStore store;
    private final Executor loop;
    private final String kind;
    private final String name;
    private Optional<StoredObject> stored = Optional.empty();
    private boolean pending;

    private OwnedObjectWriter(ObjectStore store, Executor loop, String kind, String name) {
        this.store = store;
        this.loop = loop;
        this.kind = kind;
        this.name = name;
    }

    /** Creates a writer that has not written yet. */
    public static OwnedObjectWriter create(ObjectStore store, Executor loop, String kind, String name) {
        return new OwnedObjectWriter(store, loop, kind, name);
    }

    /** Returns whether a write is under way; {@link #write} must not be called until it has ended. */
    public boolean isPending() {
        return pending;
    }

    /** Learns the outcome of a write on the control thread, when another write is possible. */
    public interface Listener {
        /** Called when the object has been written. */
        default void written() {}

        /** Called when the object may not have been written, but has been read again, so that another write can follow at once. */
        default void conflicted() {}

        /** Called when the object has not been written. */
        default void failed() {}
    }

    /** Creates or replaces the object. */
    public void write(JsonNode content, Listener listener) {
        pending = true;
        stored.map(object -> store.update(object.withSpec(content)))
                .orElseGet(() -> store.create(StoredObject.create(kind, name, content)))
                .emitOn(loop)
                .subscribe()
                .with(
                        object -> {
                            onStored(object);
                            listener.written();
                        },
                        failure -> onFailure(failure, listener));
    }

    /** Removes the object if this writer has written it and no other one since; does nothing while a write is under way. */
    public Uni<Void> remove() {
        return pending || stored.isEmpty() ? Uni.createFrom().voidItem() : store.delete(stored.get());
    }

    private void onStored(StoredObject object) {
        pending = false;
        stored = Optional.of(object);
    }

    private void onFailure(Throwable failure, Listener listener) {
        ResultCode code = failure instanceof BaobabcartException exception ? exception.code() : ResultCode.INTERNAL;
        LOGGER.atInfo().log(
                "event=report_not_written kind=%s name=%s code=%s cause=%s", kind, name, code, failure.getMessage());
        stored = Optional.empty();
        if (code != ResultCode.CONFLICT && code != ResultCode.WRITE_OUTCOME_UNKNOWN) {
            pending = false;
            listener.failed();
            return;
        }
        store.read(kind, name)
                .emitOn(loop)
                .subscribe()
                .with(
                        object -> {
                            onStored(object);
                            listener.conflicted();
                        },
                        absent -> {
                            pending = false;
                            listener.failed();
                        });
    }
}
