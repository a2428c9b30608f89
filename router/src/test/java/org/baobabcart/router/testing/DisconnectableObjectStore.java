package org.baobabcart.router.testing;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.function.Supplier;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.platform.ObjectStore;

/** One node's way to the platform, which can be cut. A watch that is open when it is cut goes silent. */
public final class DisconnectableObjectStore implements ObjectStore {
    private final ObjectStore store;
    private boolean cut;

    private DisconnectableObjectStore(ObjectStore store) {
        this.store = store;
    }

    public static DisconnectableObjectStore of(ObjectStore store) {
        return new DisconnectableObjectStore(store);
    }

    public void setCut(boolean nowCut) {
        cut = nowCut;
    }

    @Override
    public Uni<StoredObject> read(String kind, String name) {
        return guarded(() -> store.read(kind, name));
    }

    @Override
    public Uni<List<StoredObject>> list(String kind) {
        return guarded(() -> store.list(kind));
    }

    @Override
    public Uni<StoredObject> create(StoredObject object) {
        return guarded(() -> store.create(object));
    }

    @Override
    public Uni<StoredObject> update(StoredObject object) {
        return guarded(() -> store.update(object));
    }

    @Override
    public Uni<Void> delete(StoredObject object) {
        return guarded(() -> store.delete(object));
    }

    @Override
    public Multi<ObjectEvent> watch(String kind, String fromResourceVersion) {
        if (cut) {
            return Multi.createFrom().failure(unavailable());
        }
        return store.watch(kind, fromResourceVersion).select().where(ignored -> !cut);
    }

    private <T> Uni<T> guarded(Supplier<Uni<T>> call) {
        return Uni.createFrom().deferred(() -> cut ? Uni.createFrom().failure(unavailable()) : call.get());
    }

    private static BaobabcartException unavailable() {
        return BaobabcartException.of(ResultCode.PLATFORM_UNAVAILABLE);
    }
}
