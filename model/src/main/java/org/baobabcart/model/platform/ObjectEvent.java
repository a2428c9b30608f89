package org.baobabcart.model.platform;

/**
 * A change reported by a watch. Immutable.
 *
 * @param type what happened
 * @param object the object after the change, or the last one before its removal
 */
public record ObjectEvent(Type type, StoredObject object) {
    /** Kinds of change, as in the Kubernetes API conventions. */
    public enum Type {
        ADDED,
        MODIFIED,
        DELETED,
        BOOKMARK
    }
}
