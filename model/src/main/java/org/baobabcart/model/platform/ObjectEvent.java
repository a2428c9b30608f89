package org.baobabcart.model.platform;

/**
 * A change reported by a watch. Immutable.
 *
 * @param type the kind of change
 * @param object the object after the change, or its last state before the deletion
 */
public record ObjectEvent(Type type, StoredObject object) {
    /** The kinds of changes, as in the Kubernetes API conventions. */
    public enum Type {
        ADDED,
        MODIFIED,
        DELETED,
        BOOKMARK
    }
}
