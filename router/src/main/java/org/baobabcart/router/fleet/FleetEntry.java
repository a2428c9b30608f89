package org.baobabcart.router.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/**
 * The registration of a router as it is stored. Immutable.
 *
 * @param dataCentre the name of the router's data centre
 * @param address {@code host:port} at which other routers reach it; empty if it accepts no calls of them
 * @param start differs between the processes that run under one name
 */
record FleetEntry(String dataCentre, String address, String start) {
    private static final String DATA_CENTRE = "dataCentre";
    private static final String ADDRESS = "address";
    private static final String START = "start";

    JsonNode toJson() {
        return JsonNodeFactory.instance
                .objectNode()
                .put(DATA_CENTRE, dataCentre)
                .put(ADDRESS, address)
                .put(START, start);
    }

    /**
     * Reads a stored registration.
     *
     * @throws BaobabcartException with {@code BAD_REQUEST} and the field's name if a field is missing
     */
    static FleetEntry of(JsonNode root) {
        return new FleetEntry(text(root, DATA_CENTRE), text(root, ADDRESS), text(root, START));
    }

    private static String text(JsonNode root, String field) {
        if (!root.path(field).isTextual()) {
            throw BaobabcartException.of(ResultCode.BAD_REQUEST, "not a registration")
                    .withLocation(field);
        }
        return root.path(field).asText();
    }
}
