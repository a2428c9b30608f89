package org.baobabcart.router.control;

/**
 * Identifies a typed section of the blackboard. Immutable; compared by identity.
 *
 * @param <T> the type of the section's value, which must be immutable
 */
public final class Section<T> {
    private final String name;
    private final T initial;

    private Section(String name, T initial) {
        this.name = name;
        this.initial = initial;
    }

    /** Creates a section with a name and the value that it has before the first write. */
    public static <T> Section<T> named(String name, T initial) {
        return new Section<>(name, initial);
    }

    /** Returns the name, which is used in messages only. */
    public String name() {
        return name;
    }

    /** Returns the value before the first write. */
    public T initial() {
        return initial;
    }

    @Override
    public String toString() {
        return name;
    }
}
