package org.baobabcart.model.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * An object of the platform's versioned API. Immutable, provided that the JSON trees are not modified.
 *
 * @param kind the object kind (collection), such as {@code sheets}
 * @param name the name within the collection
 * @param resourceVersion the platform's resource version; empty for an object to be created
 * @param spec the specification
 * @param status the status; a missing node if the platform stores none
 * @param created the platform's creation mark, which distinguishes an object from an earlier one with the same name; may be empty
 */
public record StoredObject(
        String kind, String name, String resourceVersion, JsonNode spec, JsonNode status, String created) {
    /** Creates an object without a status. */
    public StoredObject(String kind, String name, String resourceVersion, JsonNode spec) {
        this(kind, name, resourceVersion, spec, MissingNode.getInstance(), "");
    }

    /** Returns an object to be created in the platform. */
    public static StoredObject create(String kind, String name, JsonNode spec) {
        return new StoredObject(kind, name, "", spec);
    }

    /** Returns a copy with another specification and the same resource version, for a conditional update. */
    public StoredObject withSpec(JsonNode newSpec) {
        return new StoredObject(kind, name, resourceVersion, newSpec, status, created);
    }

    /** Returns a copy with another status and the same resource version, for a conditional update. */
    public StoredObject withStatus(JsonNode newStatus) {
        return new StoredObject(kind, name, resourceVersion, spec, newStatus, created);
    }
}
