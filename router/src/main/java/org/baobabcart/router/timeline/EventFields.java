package org.baobabcart.router.timeline;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * The fields of an event with their values, in the order in which they were added.
 *
 * <p>Immutable: adding a field returns a new node that links to the previous ones, and values are rendered only when
 * they are read, since events are created for each request. Values are numbers, booleans or short texts and must not contain
 * keys or prompts.
 */
public final class EventFields {
    private static final EventFields NONE = new EventFields(null, null, null);

    /** The fields that were added before this one; null if there is no field. */
    private final EventFields previous;

    private final EventField field;
    private final Object value;

    private EventFields(EventFields previous, EventField field, Object value) {
        this.previous = previous;
        this.field = field;
        this.value = value;
    }

    /** Returns no fields. */
    public static EventFields none() {
        return NONE;
    }

    /** Creates a single field with a text. */
    public static EventFields of(EventField field, String value) {
        return NONE.with(field, value);
    }

    /** Creates a single field with a number. */
    public static EventFields of(EventField field, long value) {
        return NONE.with(field, value);
    }

    /** Returns these fields and one with a text. */
    public EventFields with(EventField field, String value) {
        return withValue(field, value);
    }

    /** Returns these fields and one with a number. */
    public EventFields with(EventField field, long value) {
        return withValue(field, value);
    }

    /** Returns these fields and one with a number. */
    public EventFields with(EventField field, double value) {
        return withValue(field, value);
    }

    /** Returns these fields and one with a boolean. */
    public EventFields with(EventField field, boolean value) {
        return withValue(field, value);
    }

    /** Returns these fields and one with the name of an enum constant. */
    public EventFields with(EventField field, Enum<?> value) {
        return withValue(field, value.name());
    }

    /** Returns the value of a field as a text; empty if the event does not have the field. */
    public Optional<String> get(EventField wanted) {
        for (EventFields current = this; current.previous != null; current = current.previous) {
            if (current.field == wanted) {
                return Optional.of(String.valueOf(current.value));
            }
        }
        return Optional.empty();
    }

    /** Calls an action with each field and its value, a {@code Number}, {@code Boolean} or {@code String}. */
    public void forEach(BiConsumer<EventField, Object> action) {
        if (previous != null) {
            previous.forEach(action);
            action.accept(field, value);
        }
    }

    /** Returns the fields as {@code name=value}, separated by spaces. */
    @JsonValue
    public String text() {
        StringBuilder text = new StringBuilder();
        forEach((field, value) -> text.append(text.isEmpty() ? "" : " ")
                .append(field.text())
                .append('=')
                .append(value));
        return text.toString();
    }

    @Override
    public String toString() {
        return text();
    }

    private EventFields withValue(EventField addedField, Object addedValue) {
        return new EventFields(this, addedField, addedValue);
    }
}
