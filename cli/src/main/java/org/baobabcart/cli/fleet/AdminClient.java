package org.baobabcart.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import io.smallrye.mutiny.Uni;

/**
 * HTTP client for the admin ports of routers and for the list of VMs. Thread-safe.
 *
 * <p>Calls fail with a {@link org.baobabcart.model.result.BaobabcartException}: {@code UPSTREAM_UNREACHABLE} if no
 * response was received, {@code UPSTREAM_FAILED} if the response was not successful.
 */
public interface AdminClient {
    /** Gets JSON from an address that is not a router's. */
    Uni<JsonNode> get(String address);

    /**
     * Gets JSON from a router.
     *
     * @param router the {@code host:port} of the admin port
     */
    Uni<JsonNode> get(String router, String path);

    /**
     * Sends an empty POST request to a router; the response body is ignored.
     *
     * @param router the {@code host:port} of the admin port
     */
    Uni<Void> post(String router, String path);
}
