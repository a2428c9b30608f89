package org.baobabcart.standins.platform;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * In-memory table of versioned objects with conditional updates and a bounded event history, following the Kubernetes
 * API conventions. Not thread-safe.
 */
final class ObjectTable {
    private final int historyLimit;
    private final Consumer<Event> listener;
    private final Map<String, Map<String, JsonObject>> kinds = new HashMap<>();
    private final Deque<Event> history = new ArrayDeque<>();
    private long version = 1;
    private long discardedVersion;

    private ObjectTable(int historyLimit, Consumer<Event> listener) {
        this.historyLimit = historyLimit;
        this.listener = listener;
    }

    /** Creates an empty table that notifies the listener of each change. */
    static ObjectTable create(int historyLimit, Consumer<Event> listener) {
        return new ObjectTable(historyLimit, listener);
    }

    /** A change of one object. {@code version} is the version of the table after the change. */
    record Event(long version, String kind, String type, JsonObject object) {}

    long version() {
        return version;
    }

    Optional<JsonObject> read(String kind, String name) {
        return Optional.ofNullable(objects(kind).get(name));
    }

    JsonObject list(String kind) {
        JsonArray items = new JsonArray();
        objects(kind).values().forEach(items::add);
        return new JsonObject()
                .put("metadata", new JsonObject().put("resourceVersion", Long.toString(version)))
                .put("items", items);
    }

    /** Creates an object. Returns empty if the name is taken. */
    Optional<JsonObject> create(String kind, String name, Object spec) {
        if (objects(kind).containsKey(name)) {
            return Optional.empty();
        }
        return Optional.of(store(kind, name, spec, "ADDED"));
    }

    /** Replaces an object. Returns empty if it does not exist at the expected version. */
    Optional<JsonObject> update(String kind, String name, String expectedVersion, Object spec) {
        if (!hasVersion(kind, name, expectedVersion)) {
            return Optional.empty();
        }
        return Optional.of(store(kind, name, spec, "MODIFIED"));
    }

    /** Removes an object. Returns false if it does not exist at the expected version. */
    boolean delete(String kind, String name, String expectedVersion) {
        if (!hasVersion(kind, name, expectedVersion)) {
            return false;
        }
        JsonObject last = objects(kind).remove(name);
        version++;
        addToHistory(new Event(version, kind, "DELETED", versionedObject(kind, name, version, last.getValue("spec"))));
        return true;
    }

    /** Returns the events of a kind after a version, oldest first, or empty if some of them were already discarded. */
    Optional<List<Event>> eventsAfter(String kind, long fromVersion) {
        if (fromVersion < discardedVersion) {
            return Optional.empty();
        }
        return Optional.of(history.stream()
                .filter(event -> event.version() > fromVersion && event.kind().equals(kind))
                .toList());
    }

    /** Returns whether an object exists at the expected version. */
    private boolean hasVersion(String kind, String name, String expectedVersion) {
        return read(kind, name)
                .map(object -> object.getJsonObject("metadata").getString("resourceVersion"))
                .filter(current -> current.equals(expectedVersion))
                .isPresent();
    }

    private JsonObject store(String kind, String name, Object spec, String type) {
        version++;
        JsonObject object = versionedObject(kind, name, version, spec);
        kinds.computeIfAbsent(kind, ignored -> new TreeMap<>()).put(name, object);
        addToHistory(new Event(version, kind, type, object));
        return object;
    }

    private void addToHistory(Event event) {
        history.addLast(event);
        if (history.size() > historyLimit) {
            discardedVersion = history.removeFirst().version();
        }
        listener.accept(event);
    }

    private Map<String, JsonObject> objects(String kind) {
        return kinds.containsKey(kind) ? kinds.get(kind) : Collections.emptyMap();
    }

    private static JsonObject versionedObject(String kind, String name, long objectVersion, Object spec) {
        JsonObject metadata = new JsonObject().put("name", name).put("resourceVersion", Long.toString(objectVersion));
        return new JsonObject().put("kind", kind).put("metadata", metadata).put("spec", spec);
    }
}
