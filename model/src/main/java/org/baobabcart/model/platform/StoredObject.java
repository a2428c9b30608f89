package org.baobabcart.model.platform;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An object of the platform's versioned API. Immutable as long as nobody changes the specification's tree.
 *
 * @param kind the collection, such as {@code sheets}
 * @param name the name within the collection
 * @param resourceVersion the platform's version; empty for an object that is to be created
 * @param spec the content
 */
public record StoredObject(String kind, String name, String resourceVersion, JsonNode spec) {
    /** An object that is to be created. */
    public static StoredObject fresh(String kind, String name, JsonNode spec) {
        return new StoredObject(kind, name, "", spec);
    }

    /** The same object with other content, to be written against the version that was read. */
    public StoredObject withSpec(JsonNode newSpec) {
        return new StoredObject(kind, name, resourceVersion, newSpec);
    }
}
