package org.baobabcart.router.testing;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.MultiEmitter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.ObjectSnapshot;
import org.baobabcart.model.platform.ResourceVersion;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.platform.ObjectStore;

/**
 * An object store in memory with fault injection. Thread-safe; operations complete on the thread of the caller.
 *
 * <p>{@link #setOutage} fails every call and every watch; {@link #setLoseResponses} applies writes but fails them with
 * an unknown outcome; {@link #conflictNext} fails the next write with a conflict.
 */
public final class InMemoryObjectStore implements ObjectStore {
    private final Map<String, StoredObject> objects = new TreeMap<>();
    private final List<Watcher> watchers = new ArrayList<>();
    private long version;
    private OptionalLong era = OptionalLong.empty();
    private boolean outage;
    private boolean watchesSilent;
    private boolean loseResponses;
    private int responsesToLose;
    private boolean conflict;
    private int reads;
    private int writes;
    private final Map<String, Integer> writesByKind = new HashMap<>();
    private String kindToLoseResponseOf = "";

    private InMemoryObjectStore() {}

    public static InMemoryObjectStore create() {
        return new InMemoryObjectStore();
    }

    public synchronized void setOutage(boolean active) {
        outage = active;
        if (active) {
            breakWatches();
        }
    }

    /** Tells an era in all versions from now on, also in those of objects that exist, and ends all watches. */
    public synchronized void setEra(long newEra) {
        era = OptionalLong.of(newEra);
        objects.replaceAll((key, object) ->
                object.withResourceVersion(version(ResourceVersion.of(object).revision())));
        expireWatches();
    }

    private String version(long revision) {
        return new ResourceVersion(era, revision).text();
    }

    /** While active, watches emit no events, neither for objects changed before their start nor for later changes. */
    public synchronized void setWatchesSilent(boolean active) {
        watchesSilent = active;
    }

    /** Fails all open watches. */
    public synchronized void breakWatches() {
        List<Watcher> broken = List.copyOf(watchers);
        watchers.clear();
        broken.forEach(watcher -> watcher.emitter().fail(failure(ResultCode.PLATFORM_UNAVAILABLE)));
    }

    public synchronized void setLoseResponses(boolean active) {
        loseResponses = active;
    }

    public synchronized void loseNextResponse(String kind) {
        kindToLoseResponseOf = kind;
    }

    public synchronized void loseNextResponse() {
        responsesToLose++;
    }

    public synchronized void conflictNext() {
        conflict = true;
    }

    public synchronized int reads() {
        return reads;
    }

    public synchronized int writes() {
        return writes;
    }

    public synchronized int writes(String kind) {
        return writesByKind.getOrDefault(kind, 0);
    }

    public synchronized int watches() {
        return watchers.size();
    }

    @Override
    public Uni<StoredObject> read(String kind, String name) {
        return deferred(() -> {
            reads++;
            return existing(kind, name);
        });
    }

    @Override
    public Uni<List<StoredObject>> list(String kind) {
        return deferred(() -> {
            reads++;
            return objects.values().stream()
                    .filter(object -> object.kind().equals(kind))
                    .toList();
        });
    }

    @Override
    public Uni<ObjectSnapshot> snapshot(String kind) {
        return list(kind).map(found -> new ObjectSnapshot(found, version(version)));
    }

    @Override
    public Uni<StoredObject> updateStatus(StoredObject object) {
        return update(object);
    }

    /** Removes an object without an event and expires all watches. */
    public synchronized void removeSilently(String kind, String name) {
        version++;
        objects.remove(key(kind, name));
        expireWatches();
    }

    /** Fails all watches, as the platform does when it no longer keeps the changes that they need. */
    public synchronized void expireWatches() {
        List.copyOf(watchers).forEach(watcher -> watcher.emitter().fail(failure(ResultCode.WATCH_EXPIRED)));
    }

    @Override
    public Uni<StoredObject> create(StoredObject object) {
        return deferred(() -> {
            beginWrite(object.kind());
            if (objects.containsKey(key(object.kind(), object.name()))) {
                throw failure(ResultCode.CONFLICT);
            }
            return respondToWrite(stored(object, ObjectEvent.Type.ADDED));
        });
    }

    @Override
    public Uni<StoredObject> update(StoredObject object) {
        return deferred(() -> {
            beginWrite(object.kind());
            requireSameVersion(object);
            return respondToWrite(stored(object, ObjectEvent.Type.MODIFIED));
        });
    }

    @Override
    public Uni<Void> delete(StoredObject object) {
        return deferred(() -> {
            beginWrite(object.kind());
            requireSameVersion(object);
            version++;
            objects.remove(key(object.kind(), object.name()));
            publish(new ObjectEvent(ObjectEvent.Type.DELETED, object));
            respondToWrite(object);
            return null;
        });
    }

    @Override
    public Multi<ObjectEvent> watch(String kind, String fromResourceVersion) {
        return Multi.createFrom().emitter(emitter -> open(kind, fromResourceVersion, emitter));
    }

    private synchronized void open(String kind, String from, MultiEmitter<? super ObjectEvent> emitter) {
        if (outage) {
            emitter.fail(failure(ResultCode.PLATFORM_UNAVAILABLE));
            return;
        }
        Watcher watcher = new Watcher(kind, emitter);
        emitter.onTermination(() -> close(watcher));
        watchers.add(watcher);
        if (watchesSilent) {
            return;
        }
        long fromVersion = from.isEmpty() ? 0 : ResourceVersion.parse(from).revision();
        objects.values().stream()
                .filter(object -> object.kind().equals(kind))
                .filter(object -> ResourceVersion.of(object).revision() > fromVersion)
                .forEach(object -> emitter.emit(new ObjectEvent(ObjectEvent.Type.MODIFIED, object)));
    }

    private synchronized void close(Watcher watcher) {
        watchers.remove(watcher);
    }

    private <T> Uni<T> deferred(Supplier<T> operation) {
        return Uni.createFrom().item(() -> unlessOutage(operation));
    }

    private synchronized <T> T unlessOutage(Supplier<T> operation) {
        if (outage) {
            throw failure(ResultCode.PLATFORM_UNAVAILABLE);
        }
        return operation.get();
    }

    private void beginWrite(String kind) {
        writes++;
        writesByKind.merge(kind, 1, Integer::sum);
        if (conflict) {
            conflict = false;
            throw failure(ResultCode.CONFLICT);
        }
    }

    private StoredObject respondToWrite(StoredObject object) {
        if (loseResponses) {
            throw failure(ResultCode.WRITE_OUTCOME_UNKNOWN);
        }
        if (object.kind().equals(kindToLoseResponseOf)) {
            kindToLoseResponseOf = "";
            throw failure(ResultCode.WRITE_OUTCOME_UNKNOWN);
        }
        if (responsesToLose > 0) {
            responsesToLose--;
            throw failure(ResultCode.WRITE_OUTCOME_UNKNOWN);
        }
        return object;
    }

    private void requireSameVersion(StoredObject object) {
        StoredObject current = existing(object.kind(), object.name());
        if (!current.resourceVersion().equals(object.resourceVersion())) {
            throw failure(ResultCode.CONFLICT);
        }
    }

    private StoredObject existing(String kind, String name) {
        StoredObject object = objects.get(key(kind, name));
        if (object == null) {
            throw failure(ResultCode.NOT_FOUND);
        }
        return object;
    }

    private StoredObject stored(StoredObject object, ObjectEvent.Type type) {
        version++;
        StoredObject stored =
                new StoredObject(object.kind(), object.name(), version(version), object.spec(), object.status(), "");
        objects.put(key(object.kind(), object.name()), stored);
        publish(new ObjectEvent(type, stored));
        return stored;
    }

    private void publish(ObjectEvent event) {
        if (watchesSilent) {
            return;
        }
        List.copyOf(watchers).stream()
                .filter(watcher -> watcher.kind().equals(event.object().kind()))
                .forEach(watcher -> watcher.emitter().emit(event));
    }

    private static String key(String kind, String name) {
        return kind + "/" + name;
    }

    private static BaobabcartException failure(ResultCode code) {
        return BaobabcartException.of(code);
    }

    private record Watcher(String kind, MultiEmitter<? super ObjectEvent> emitter) {}
}
