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

/** The connection of a node to the platform's store. While disconnected, calls fail and open watches emit no events. */
public final class DisconnectableObjectStore implements ObjectStore {
    private final ObjectStore store;
    private boolean disconnected;

    private DisconnectableObjectStore(ObjectStore store) {
        this.store = store;
    }

    public static DisconnectableObjectStore of(ObjectStore store) {
        return new DisconnectableObjectStore(store);
    }

    public void setDisconnected(boolean active) {
        disconnected = active;
    }

    @Override
    public Uni<StoredObject> read(String kind, String name) {
        return whenConnected(() -> store.read(kind, name));
    }

    @Override
    public Uni<List<StoredObject>> list(String kind) {
        return whenConnected(() -> store.list(kind));
    }

    @Override
    public Uni<StoredObject> create(StoredObject object) {
        return whenConnected(() -> store.create(object));
    }

    @Override
    public Uni<StoredObject> update(StoredObject object) {
        return whenConnected(() -> store.update(object));
    }

    @Override
    public Uni<Void> delete(StoredObject object) {
        return whenConnected(() -> store.delete(object));
    }

    @Override
    public Multi<ObjectEvent> watch(String kind, String fromResourceVersion) {
        if (disconnected) {
            return Multi.createFrom().failure(unavailable());
        }
        return store.watch(kind, fromResourceVersion).select().where(ignored -> !disconnected);
    }

    private <T> Uni<T> whenConnected(Supplier<Uni<T>> call) {
        return Uni.createFrom().deferred(() -> disconnected ? Uni.createFrom().failure(unavailable()) : call.get());
    }

    private static BaobabcartException unavailable() {
        return BaobabcartException.of(ResultCode.PLATFORM_UNAVAILABLE);
    }
}
