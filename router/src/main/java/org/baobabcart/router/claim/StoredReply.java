package org.baobabcart.router.claim;

import java.util.Map;

/**
 * An upstream's answer stored for replay. Immutable by contract: the body must not be modified after construction.
 *
 * @param status the HTTP status
 * @param headers the headers that are forwarded to callers
 * @param body the body's bytes
 */
public record StoredReply(int status, Map<String, String> headers, byte[] body) {
    /** Copies the headers. */
    public StoredReply {
        headers = Map.copyOf(headers);
    }
}
