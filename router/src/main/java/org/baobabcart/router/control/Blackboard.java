package org.baobabcart.router.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * Holds the control state in typed sections: controllers write sections and subscribe to changes of others.
 *
 * <p>Confined to the control thread. Values are immutable and never null.
 */
public final class Blackboard {
    private final Map<Section<?>, Object> values = new HashMap<>();
    private final Map<Section<?>, List<Consumer<Object>>> subscribers = new HashMap<>();

    private Blackboard() {}

    /** Creates a blackboard on which every section has its initial value. */
    public static Blackboard create() {
        return new Blackboard();
    }

    /** Returns the value of a section. */
    @SuppressWarnings("unchecked")
    public <T> T read(Section<T> section) {
        return (T) values.getOrDefault(section, section.initial());
    }

    /** Writes a section and calls its subscribers, unless the new value is equal to the current one. */
    public <T> void write(Section<T> section, T value) {
        Objects.requireNonNull(value, section.name());
        if (read(section).equals(value)) {
            return;
        }
        values.put(section, value);
        List.copyOf(subscribers.getOrDefault(section, List.of())).forEach(subscriber -> subscriber.accept(value));
    }

    /** Writes the result of applying a function to the current value of a section. */
    public <T> void update(Section<T> section, UnaryOperator<T> change) {
        write(section, change.apply(read(section)));
    }

    /** Registers a subscriber that is called with the new value after each change of the section. */
    @SuppressWarnings("unchecked")
    public <T> void subscribe(Section<T> section, Consumer<T> subscriber) {
        subscribers.computeIfAbsent(section, ignored -> new ArrayList<>()).add(value -> subscriber.accept((T) value));
    }
}
