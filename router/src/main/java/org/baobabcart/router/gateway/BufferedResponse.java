package org.baobabcart.router.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * A whole answer of an upstream that states a failure, kept while another attempt is made. Immutable by contract.
 *
 * @param status the status
 * @param headers the headers for the caller
 * @param body the body
 */
record BufferedResponse(int status, MultiMap headers, Buffer body) {}
