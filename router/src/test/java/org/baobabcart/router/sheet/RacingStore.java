package org.baobabcart.router.sheet;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.util.List;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.router.platform.ObjectStore;

/** An object store in which another client writes immediately before each update. */
final class RacingStore implements ObjectStore {
    private final ObjectStore store;
    private final Runnable concurrentWrite;

    RacingStore(ObjectStore store, Runnable concurrentWrite) {
        this.store = store;
        this.concurrentWrite = concurrentWrite;
    }

    @Override
    public Uni<StoredObject> read(String kind, String name) {
        return store.read(kind, name);
    }

    @Override
    public Uni<List<StoredObject>> list(String kind) {
        return store.list(kind);
    }

    @Override
    public Uni<StoredObject> create(StoredObject object) {
        return store.create(object);
    }

    @Override
    public Uni<StoredObject> update(StoredObject object) {
        concurrentWrite.run();
        return store.update(object);
    }

    @Override
    public Uni<Void> delete(StoredObject object) {
        return store.delete(object);
    }

    @Override
    public Multi<ObjectEvent> watch(String kind, String fromResourceVersion) {
        return store.watch(kind, fromResourceVersion);
    }
}
