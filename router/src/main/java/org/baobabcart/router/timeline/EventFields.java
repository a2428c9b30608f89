package org.baobabcart.router.timeline;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * What an event states, in the order in which it was put together. Immutable, and rendered only where it is read.
 *
 * <p>Values are numbers, truth values or short texts, free of keys and prompts.
 */
public final class EventFields {
    private static final EventFields NONE = new EventFields(new EventField[0], new Object[0]);

    private final EventField[] fields;
    private final Object[] values;

    private EventFields(EventField[] fields, Object[] values) {
        this.fields = fields;
        this.values = values;
    }

    /** No field. */
    public static EventFields none() {
        return NONE;
    }

    /** One text. */
    public static EventFields of(EventField field, String value) {
        return NONE.with(field, value);
    }

    /** One number. */
    public static EventFields of(EventField field, long value) {
        return NONE.with(field, value);
    }

    /** The same fields and a text. */
    public EventFields with(EventField field, String value) {
        return withValue(field, value);
    }

    /** The same fields and a number. */
    public EventFields with(EventField field, long value) {
        return withValue(field, value);
    }

    /** The same fields and a number. */
    public EventFields with(EventField field, double value) {
        return withValue(field, value);
    }

    /** The same fields and a truth value. */
    public EventFields with(EventField field, boolean value) {
        return withValue(field, value);
    }

    /** The same fields and the name of a constant. */
    public EventFields with(EventField field, Enum<?> value) {
        return withValue(field, value.name());
    }

    /** The value of a field as a text; empty where the event does not state it. */
    public Optional<String> get(EventField field) {
        int index = Arrays.asList(fields).indexOf(field);
        return index < 0 ? Optional.empty() : Optional.of(String.valueOf(values[index]));
    }

    /** Calls an action for each field and its value, a {@code Number}, {@code Boolean} or {@code String}. */
    public void forEach(BiConsumer<EventField, Object> action) {
        for (int index = 0; index < fields.length; index++) {
            action.accept(fields[index], values[index]);
        }
    }

    /** The fields as {@code name=value}, with a blank between two. */
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

    private EventFields withValue(EventField field, Object value) {
        EventField[] moreFields = Arrays.copyOf(fields, fields.length + 1);
        Object[] moreValues = Arrays.copyOf(values, values.length + 1);
        moreFields[fields.length] = field;
        moreValues[values.length] = value;
        return new EventFields(moreFields, moreValues);
    }
}
