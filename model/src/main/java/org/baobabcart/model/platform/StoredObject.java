package org.baobabcart.model.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.Optional;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/**
 * An object of the platform's versioned API. Immutable, provided that the JSON trees are not modified.
 *
 * @param kind the object kind (collection), such as {@code sheets}
 * @param name the name within the collection
 * @param resourceVersion the platform's resource version; empty for an object to be created
 * @param spec the specification
 * @param status the status; a missing node if the platform stores none
 * @param created the platform's creation mark, which distinguishes an object from an earlier one with the same name; may be empty
 * @param fault why the content cannot be decoded; empty if it can. Specification and status are then missing nodes
 */
public record StoredObject(
        String kind,
        String name,
        String resourceVersion,
        JsonNode spec,
        JsonNode status,
        String created,
        Optional<String> fault) {
    /** Creates an object that can be decoded. */
    public StoredObject(
            String kind, String name, String resourceVersion, JsonNode spec, JsonNode status, String created) {
        this(kind, name, resourceVersion, spec, status, created, Optional.empty());
    }

    /** Creates an object without a status. */
    public StoredObject(String kind, String name, String resourceVersion, JsonNode spec) {
        this(kind, name, resourceVersion, spec, MissingNode.getInstance(), "");
    }

    /** Returns an object to be created in the platform. */
    public static StoredObject create(String kind, String name, JsonNode spec) {
        return new StoredObject(kind, name, "", spec);
    }

    /**
     * Returns an object whose content cannot be decoded.
     *
     * @param name the name; empty if not even that can be decoded
     * @param fault why it cannot be decoded
     */
    public static StoredObject unreadable(String kind, String name, String resourceVersion, String fault) {
        JsonNode missing = MissingNode.getInstance();
        return new StoredObject(kind, name, resourceVersion, missing, missing, "", Optional.of(fault));
    }

    /**
     * Returns this object.
     *
     * @throws BaobabcartException with {@code RESPONSE_UNREADABLE} and the object's name if its content cannot be decoded
     */
    public StoredObject requireReadable() {
        fault.ifPresent(reason -> {
            throw BaobabcartException.of(ResultCode.RESPONSE_UNREADABLE, reason).withLocation(kind + "/" + name);
        });
        return this;
    }

    /** Returns a copy with another resource version. */
    public StoredObject withResourceVersion(String newVersion) {
        return new StoredObject(kind, name, newVersion, spec, status, created, fault);
    }

    /** Returns a copy with another specification and the same resource version, for a conditional update. */
    public StoredObject withSpec(JsonNode newSpec) {
        return new StoredObject(kind, name, resourceVersion, newSpec, status, created, fault);
    }

    /** Returns a copy with another status and the same resource version, for a conditional update. */
    public StoredObject withStatus(JsonNode newStatus) {
        return new StoredObject(kind, name, resourceVersion, spec, newStatus, created, fault);
    }
}
