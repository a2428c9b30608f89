package org.baobabcart.model.platform;

import java.util.List;

/**
 * All objects of a kind at one version of the platform. Immutable.
 *
 * @param objects the objects
 * @param resourceVersion the version from which a watch goes on; empty where the platform gives none
 */
public record ObjectSnapshot(List<StoredObject> objects, String resourceVersion) {
    /** Copies the list. */
    public ObjectSnapshot {
        objects = List.copyOf(objects);
    }
}
