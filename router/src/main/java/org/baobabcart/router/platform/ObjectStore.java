package org.baobabcart.router.platform;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.ObjectSnapshot;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/**
 * The platform's versioned object API. Thread-safe.
 *
 * <p>Failures are {@link org.baobabcart.model.result.BaobabcartException}s: {@code NOT_FOUND}, {@code CONFLICT}, {@code
 * WATCH_EXPIRED}, {@code PLATFORM_UNAVAILABLE} if the call certainly had no effect, and {@code WRITE_OUTCOME_UNKNOWN}
 * if a write may have taken effect.
 */
public interface ObjectStore {
    /** Reads one object. */
    Uni<StoredObject> read(String kind, String name);

    /** Reads all objects of a kind. */
    Uni<List<StoredObject>> list(String kind);

    /** Reads all objects of a kind, together with the version from which a watch continues. */
    default Uni<ObjectSnapshot> snapshot(String kind) {
        return list(kind).map(objects -> new ObjectSnapshot(objects, ""));
    }

    /** Creates an object; fails with {@code CONFLICT} if it exists. */
    Uni<StoredObject> create(StoredObject object);

    /** Replaces an object if its version is unchanged since it was read; fails with {@code CONFLICT} otherwise. */
    Uni<StoredObject> update(StoredObject object);

    /** Replaces the status of an object if its version is unchanged since it was read. */
    default Uni<StoredObject> updateStatus(StoredObject object) {
        return Uni.createFrom()
                .failure(BaobabcartException.of(ResultCode.INTERNAL, "this platform does not support object status"));
    }

    /** Deletes an object if its version is unchanged since it was read. */
    Uni<Void> delete(StoredObject object);

    /**
     * Streams the changes after a version until the watch ends. The caller then watches again from the last version it
     * received.
     */
    Multi<ObjectEvent> watch(String kind, String fromResourceVersion);

    /**
     * Streams the changes after a version like {@link #watch(String, String)}, with a bookmark at least as often as this if the store supports it. More
     * frequent bookmarks cost more calls.
     */
    default Multi<ObjectEvent> watch(String kind, String fromResourceVersion, Duration longestSilence) {
        return watch(kind, fromResourceVersion);
    }

    /**
     * Returns the era of the store, which changes when it comes back from an older copy; empty if it tells none. Resource versions of one era cannot be
     * compared with those of another, and watches and conditional writes from one fail in another. May be called on any thread.
     */
    default OptionalLong era() {
        return OptionalLong.empty();
    }

    /**
     * Returns how long ago the platform itself has confirmed what the last watch of a kind has told; empty if its news come from the platform at
     * once. May be called on any thread.
     */
    default OptionalLong newsAgeNanos(String kind) {
        return OptionalLong.empty();
    }
}
