package org.baobabcart.router.gateway;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.ObjectSnapshot;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.platform.ObjectStore;

/** Wraps a store and delays the responses to status writes, which still take effect immediately. Immutable. */
record DelayedResponseStore(ObjectStore store, TimerService timers, Duration delay) implements ObjectStore {
    static DelayedResponseStore of(ObjectStore store, TimerService timers, Duration delay) {
        return new DelayedResponseStore(store, timers, delay);
    }

    @Override
    public Uni<StoredObject> updateStatus(StoredObject object) {
        return Uni.createFrom().emitter(emitter -> {
            StoredObject written = store.updateStatus(object).await().indefinitely();
            timers.after("late-answer", delay, () -> emitter.complete(written));
        });
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
    public Uni<ObjectSnapshot> snapshot(String kind) {
        return store.snapshot(kind);
    }

    @Override
    public Uni<StoredObject> create(StoredObject object) {
        return store.create(object);
    }

    @Override
    public Uni<StoredObject> update(StoredObject object) {
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
