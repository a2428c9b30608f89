package org.baobabcart.router.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * A complete response of an upstream, held in memory. Immutable by contract.
 *
 * <p>An error response is kept while another attempt is made, and is sent to the caller if no attempt succeeds.
 *
 * @param status the HTTP status
 * @param headers the headers to forward to the caller
 * @param body the body
 */
record BufferedResponse(int status, MultiMap headers, Buffer body) {}
