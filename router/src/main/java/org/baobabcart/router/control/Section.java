package org.baobabcart.router.control;

/**
 * A typed section of the blackboard. Immutable; identity is by instance.
 *
 * @param <T> the immutable type of the section's value
 */
public final class Section<T> {
    private final String name;
    private final T initial;

    private Section(String name, T initial) {
        this.name = name;
        this.initial = initial;
    }

    /** A section with the value that it has before anything was written. */
    public static <T> Section<T> named(String name, T initial) {
        return new Section<>(name, initial);
    }

    /** The name, for people. */
    public String name() {
        return name;
    }

    /** The value before anything was written. */
    public T initial() {
        return initial;
    }

    @Override
    public String toString() {
        return name;
    }
}
