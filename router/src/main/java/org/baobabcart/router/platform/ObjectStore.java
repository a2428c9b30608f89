package org.baobabcart.router.platform;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.util.List;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.ObjectSnapshot;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/**
 * The platform's versioned object API. Thread-safe.
 *
 * <p>Failures are {@link org.baobabcart.model.result.BaobabcartException}s: {@code NOT_FOUND}, {@code CONFLICT},
 * {@code WATCH_EXPIRED}, {@code PLATFORM_UNAVAILABLE} where the call surely had no effect, and
 * {@code WRITE_OUTCOME_UNKNOWN} where a write may have taken effect.
 */
public interface ObjectStore {
    /** Reads one object. */
    Uni<StoredObject> read(String kind, String name);

    /** Reads all objects of a kind. */
    Uni<List<StoredObject>> list(String kind);

    /** Reads all objects of a kind with the version from which a watch goes on. */
    default Uni<ObjectSnapshot> snapshot(String kind) {
        return list(kind).map(objects -> new ObjectSnapshot(objects, ""));
    }

    /** Creates an object; fails with {@code CONFLICT} if it exists. */
    Uni<StoredObject> create(StoredObject object);

    /** Replaces an object if its version is still the one that was read; fails with {@code CONFLICT} otherwise. */
    Uni<StoredObject> update(StoredObject object);

    /** Replaces the status of an object if its version is still the one that was read. */
    default Uni<StoredObject> updateStatus(StoredObject object) {
        return Uni.createFrom()
                .failure(BaobabcartException.of(ResultCode.INTERNAL, "this platform keeps no status of objects"));
    }

    /** Removes an object if its version is still the one that was read. */
    Uni<Void> delete(StoredObject object);

    /** Changes after a version, until the watch breaks; the caller watches again from the last version it saw. */
    Multi<ObjectEvent> watch(String kind, String fromResourceVersion);
}
