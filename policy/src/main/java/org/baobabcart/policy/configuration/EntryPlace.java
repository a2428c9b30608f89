package org.baobabcart.policy.configuration;

/**
 * The place of a value in a configuration. Immutable.
 *
 * @param field the field
 * @param index the index of the route, service or holder; zero for limits and the version
 * @param part the index within the entry; zero for fields without parts
 */
public record EntryPlace(EntryField field, int index, int part) {
    /** Returns the place of a field without parts. */
    public static EntryPlace of(EntryField field, int index) {
        return new EntryPlace(field, index, 0);
    }

    /** Returns the place of a limit or the version. */
    public static EntryPlace of(EntryField field) {
        return of(field, 0);
    }
}
