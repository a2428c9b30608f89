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
 * The values of the objects of a kind. Each object is decoded on its own: one that cannot be decoded is recorded once for each version, and the value
 * of its last valid version stays in force. Confined to the control thread.
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
     * @param isValid whether the last version could be decoded
     */
    private record Entry<T>(String version, Optional<T> value, boolean isValid) {}

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
        Entry<T> before = entries.get(object.name());
        if (before == null || !before.version().equals(object.resourceVersion())) {
            entries.put(object.name(), decode(object, before));
            count();
        }
    }

    void remove(String name) {
        entries.remove(name);
        count();
    }

    private void count() {
        ignored = (int)
                entries.values().stream().filter(entry -> !entry.isValid()).count();
    }

    private Entry<T> decode(StoredObject object, Entry<T> before) {
        String version = object.resourceVersion();
        try {
            return new Entry<>(version, decoder.decode(object.requireReadable()), true);
        } catch (RuntimeException fault) {
            timeline.record(
                    EventType.OBJECT_IGNORED,
                    EventFields.of(EventField.NAME, kind)
                            .with(EventField.OBJECT, object.name())
                            .with(EventField.RESOURCE_VERSION, version)
                            .with(EventField.CAUSE, String.valueOf(fault.getMessage())));
            return new Entry<>(version, before == null ? Optional.empty() : before.value(), false);
        }
    }
}
