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
    /** Reads JSON from an address. */
    Uni<JsonNode> get(String address);

    /** Sends an empty POST; only the status of the answer counts. */
    Uni<Void> post(String address);
}
