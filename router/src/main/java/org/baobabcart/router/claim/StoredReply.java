package org.baobabcart.router.claim;

import java.util.Map;

/**
 * An upstream's answer kept for replay. Immutable by contract: nobody changes the body after construction.
 *
 * @param status the HTTP status
 * @param headers the headers that are passed on to callers
 * @param body the body's bytes
 */
public record StoredReply(int status, Map<String, String> headers, byte[] body) {
    /** Copies the headers. */
    public StoredReply {
        headers = Map.copyOf(headers);
    }
}
