package org.baobabcart.router.transport;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * A complete, buffered HTTP response. Immutable by contract: headers and body must not be modified after construction.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body
 */
public record BoundedResponse(int status, MultiMap headers, Buffer body) {
    private static final int SUCCESS = 200;
    private static final int AFTER_SUCCESS = 300;

    /** Returns whether the status is 2xx. */
    public boolean isSuccess() {
        return status >= SUCCESS && status < AFTER_SUCCESS;
    }
}
