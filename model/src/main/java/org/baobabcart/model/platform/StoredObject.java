package org.baobabcart.model.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * An object of the platform's versioned API. Immutable as long as nobody changes the specification's tree.
 *
 * @param kind the collection, such as {@code sheets}
 * @param name the name within the collection
 * @param resourceVersion the platform's version; empty for an object that is to be created
 * @param spec the content
 * @param status what the system says of the object; missing where the platform keeps none
 * @param created the platform's mark of the creation, by which an object made anew is told apart; may be empty
 */
public record StoredObject(
        String kind, String name, String resourceVersion, JsonNode spec, JsonNode status, String created) {
    /** An object without a status. */
    public StoredObject(String kind, String name, String resourceVersion, JsonNode spec) {
        this(kind, name, resourceVersion, spec, MissingNode.getInstance(), "");
    }

    /** An object that is to be created. */
    public static StoredObject create(String kind, String name, JsonNode spec) {
        return new StoredObject(kind, name, "", spec);
    }

    /** The same object with other content, to be written against the version that was read. */
    public StoredObject withSpec(JsonNode newSpec) {
        return new StoredObject(kind, name, resourceVersion, newSpec, status, created);
    }

    /** The same object with another status, to be written against the version that was read. */
    public StoredObject withStatus(JsonNode newStatus) {
        return new StoredObject(kind, name, resourceVersion, spec, newStatus, created);
    }
}
