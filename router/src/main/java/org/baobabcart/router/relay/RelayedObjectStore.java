package org.baobabcart.router.relay;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.ObjectSnapshot;
import org.baobabcart.model.platform.ResourceVersion;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.router.platform.ObjectStore;

/**
 * An object store whose watches are served by relays while their news are fresh. Everything else goes to the store itself. Thread-safe; one watch
 * of each kind at a time.
 */
public final class RelayedObjectStore implements ObjectStore {
    private final ObjectStore store;
    private final Executor loop;
    private final LongSupplier clock;
    private final RelayTiming timing;
    private final RelayView relays;
    private final RelaySource source;
    private final Map<String, KindWatch> watches = new ConcurrentHashMap<>();

    RelayedObjectStore(
            ObjectStore store,
            Executor loop,
            LongSupplier clock,
            RelayTiming timing,
            RelayView relays,
            RelaySource source) {
        this.store = store;
        this.loop = loop;
        this.clock = clock;
        this.timing = timing;
        this.relays = relays;
        this.source = source;
    }

    private KindWatch watch(String kind) {
        return watches.computeIfAbsent(
                kind, ignored -> new KindWatch(kind, store, loop, clock, timing, relays, source));
    }

    /** Lets all watches take what the relays have told; called on the control thread. */
    void review() {
        watches.values().forEach(KindWatch::review);
    }

    /** Returns the number of kinds whose changes relays tell at present; may be called on any thread. */
    int relayedKinds() {
        return (int) watches.values().stream().filter(KindWatch::isRelayed).count();
    }

    @Override
    public Uni<ObjectSnapshot> snapshot(String kind) {
        return store.snapshot(kind)
                .emitOn(loop)
                .onItem()
                .invoke(snapshot -> watch(kind).onSnapshot(snapshot))
                .onFailure()
                .invoke(failure -> watch(kind).onSnapshotFailure());
    }

    @Override
    public Multi<ObjectEvent> watch(String kind, String fromResourceVersion) {
        if (!ResourceVersion.parse(fromResourceVersion).isKnown()) {
            return store.watch(kind, fromResourceVersion);
        }
        return Multi.createFrom()
                .emitter(emitter -> loop.execute(() -> watch(kind).open(fromResourceVersion, emitter)));
    }

    @Override
    public OptionalLong era() {
        return store.era();
    }

    @Override
    public OptionalLong newsAgeNanos(String kind) {
        KindWatch watch = watches.get(kind);
        return watch == null ? OptionalLong.empty() : watch.ageNanos();
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
        return store.update(object);
    }

    @Override
    public Uni<StoredObject> updateStatus(StoredObject object) {
        return store.updateStatus(object);
    }

    @Override
    public Uni<Void> delete(StoredObject object) {
        return store.delete(object);
    }
}
