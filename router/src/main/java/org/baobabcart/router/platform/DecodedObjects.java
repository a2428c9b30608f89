package org.baobabcart.router.platform;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;

/**
 * The values of the objects of a kind. Each object is decoded on its own: one that cannot be decoded is recorded once for each version and reason, and the
 * value of its last valid version stays in force. Confined to the control thread.
 *
 * <p>An object is decoded whenever it is read: a store that has come back from an older copy may hold another content under a version that is known.
 *
 * @param <T> the type of the values
 */
final class DecodedObjects<T> {
    private final String kind;
    private final ObjectDecoder<T> decoder;
    private final Timeline timeline;
    private final Map<String, Entry<T>> entries = new HashMap<>();
    private volatile int ignored;

    /**
     * What is known of an object.
     *
     * @param version the last version seen
     * @param value the value of the last valid version; empty if there is none or it is of no interest
     * @param fault why the last version cannot be decoded; empty if it can
     */
    private record Entry<T>(String version, Optional<T> value, Optional<String> fault) {}

    DecodedObjects(String kind, ObjectDecoder<T> decoder, Timeline timeline) {
        this.kind = kind;
        this.decoder = decoder;
        this.timeline = timeline;
    }

    /** Returns the names of the objects. */
    Set<String> names() {
        return new HashSet<>(entries.keySet());
    }

    /** Returns the values by name. */
    Map<String, T> values() {
        Map<String, T> values = new HashMap<>();
        entries.forEach((name, entry) -> entry.value().ifPresent(value -> values.put(name, value)));
        return Map.copyOf(values);
    }

    /** Returns the number of objects whose last version could not be decoded. May be called on any thread. */
    int ignored() {
        return ignored;
    }

    void put(StoredObject object) {
        entries.put(object.name(), decode(object, Optional.ofNullable(entries.get(object.name()))));
        count();
    }

    void remove(String name) {
        entries.remove(name);
        count();
    }

    private void count() {
        ignored = (int) entries.values().stream()
                .filter(entry -> entry.fault().isPresent())
                .count();
    }

    private Entry<T> decode(StoredObject object, Optional<Entry<T>> before) {
        String version = object.resourceVersion();
        try {
            return new Entry<>(version, decoder.decode(object.requireReadable()), Optional.empty());
        } catch (RuntimeException exception) {
            Optional<String> fault = Optional.of(String.valueOf(exception.getMessage()));
            boolean isKnown = before.filter(entry ->
                            entry.version().equals(version) && entry.fault().equals(fault))
                    .isPresent();
            if (!isKnown) {
                timeline.record(
                        EventType.OBJECT_IGNORED,
                        EventFields.of(EventField.NAME, kind)
                                .with(EventField.OBJECT, object.name())
                                .with(EventField.RESOURCE_VERSION, version)
                                .with(EventField.CAUSE, fault.get()));
            }
            return new Entry<>(version, before.flatMap(Entry::value), fault);
        }
    }
}
