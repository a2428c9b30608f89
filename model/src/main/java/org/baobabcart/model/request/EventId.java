package org.baobabcart.model.request;

import java.util.Objects;
import java.util.Optional;

/**
 * The id of an event in a stream: an unsigned decimal integer of any size up to {@link #MAX_DIGITS} digits. Immutable.
 *
 * <p>Ids are compared and equal by their value; {@link #toString} returns the id as it was written.
 */
public final class EventId implements Comparable<EventId> {
    /** Keeps an id far below the usual limit of a header. */
    public static final int MAX_DIGITS = 128;

    private final String text;
    /** The digits without leading zeros, so that a longer text is a greater number. */
    private final String digits;

    private EventId(String text, String digits) {
        this.text = text;
        this.digits = digits;
    }

    /** Parses an id, ignoring surrounding white space; returns empty if the text is not an id. */
    public static Optional<EventId> parse(String text) {
        String stripped = text.strip();
        if (stripped.isEmpty() || stripped.length() > MAX_DIGITS) {
            return Optional.empty();
        }
        int significant = stripped.length() - 1;
        for (int index = stripped.length() - 1; index >= 0; index--) {
            char digit = stripped.charAt(index);
            if (digit < '0' || digit > '9') {
                return Optional.empty();
            }
            if (digit != '0') {
                significant = index;
            }
        }
        return Optional.of(new EventId(stripped, stripped.substring(significant)));
    }

    @Override
    public int compareTo(EventId other) {
        return digits.length() == other.digits.length()
                ? digits.compareTo(other.digits)
                : Integer.compare(digits.length(), other.digits.length());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof EventId that && digits.equals(that.digits);
    }

    @Override
    public int hashCode() {
        return Objects.hash(digits);
    }

    @Override
    public String toString() {
        return text;
    }
}
