package org.baobabcart.model.platform;

import java.util.List;

/**
 * All objects of a kind at one resource version. Immutable.
 *
 * @param objects the objects
 * @param resourceVersion the version from which a watch continues; empty if the platform returned none
 */
public record ObjectSnapshot(List<StoredObject> objects, String resourceVersion) {
    /** Copies the list. */
    public ObjectSnapshot {
        objects = List.copyOf(objects);
    }
}
