package org.baobabcart.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import io.smallrye.mutiny.Uni;

/**
 * JSON calls to admin ports of routers and to the list of VMs. Thread-safe.
 *
 * <p>Failures are {@link org.baobabcart.model.result.BaobabcartException}s with {@code UPSTREAM_UNREACHABLE} where no
 * answer came and {@code UPSTREAM_FAILED} where the answer was no success.
 */
public interface AdminClient {
    /** Reads JSON from an address outside the fleet. */
    Uni<JsonNode> get(String address);

    /**
     * Reads JSON from a router.
     *
     * @param router host and port of its admin port
     */
    Uni<JsonNode> get(String router, String path);

    /**
     * Sends an empty POST to a router; only the status of the answer counts.
     *
     * @param router host and port of its admin port
     */
    Uni<Void> post(String router, String path);
}
