package org.baobabcart.router.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.function.BiFunction;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;

/**
 * Reads the objects of a list or watch one by one. Any process may write to the store, so an object that cannot be decoded is returned with its
 * fault and does not affect the others. Thread-safe.
 */
public final class StoredObjectReader {
    private static final String METADATA = "metadata";
    private static final String NAME = "name";

    private final String versionField;
    private final BiFunction<String, JsonNode, StoredObject> decoder;

    private StoredObjectReader(String versionField, BiFunction<String, JsonNode, StoredObject> decoder) {
        this.versionField = versionField;
        this.decoder = decoder;
    }

    /**
     * Creates a reader.
     *
     * @param versionField the field of the metadata that holds the resource version
     * @param decoder returns the object of a kind from its JSON form
     */
    public static StoredObjectReader create(String versionField, BiFunction<String, JsonNode, StoredObject> decoder) {
        return new StoredObjectReader(versionField, decoder);
    }

    /** Returns the object in a list or event, with its fault if it cannot be decoded. */
    public StoredObject read(String kind, JsonSlice slice) {
        try {
            return decoder.apply(kind, slice.parse());
        } catch (BaobabcartException fault) {
            return StoredObject.unreadable(
                    kind, metadata(slice, NAME), metadata(slice, versionField), fault.getMessage());
        }
    }

    /** Returns the only object in a response; throws a {@link BaobabcartException} if it cannot be decoded. */
    public StoredObject readOnly(String kind, JsonSlice slice) {
        return read(kind, slice).requireReadable();
    }

    /** Returns a field of the metadata of an object that cannot be decoded as a whole; empty if it cannot be decoded either. */
    private static String metadata(JsonSlice object, String field) {
        try {
            Map<String, JsonSlice> members = object.members();
            JsonSlice metadata = members.get(METADATA);
            JsonSlice value = metadata == null ? null : metadata.members().get(field);
            return value == null ? "" : value.parse().asText();
        } catch (BaobabcartException unreadable) {
            return "";
        }
    }
}
