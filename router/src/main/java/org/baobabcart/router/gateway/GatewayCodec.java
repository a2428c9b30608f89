package org.baobabcart.router.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Map;
import java.util.OptionalInt;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.router.upstream.ResponseRules;

/**
 * Translates between the HTTP headers of one interface for callers and upstreams and the values that the opaque request path uses.
 * Thread-safe and stateless.
 */
public interface GatewayCodec {
    /**
     * Decodes the head of a request.
     *
     * @throws BaobabcartException with a code in the 10xx range if the head is invalid
     */
    RequestHead decode(HttpServerRequest request);

    /** Returns the headers of an attempt. */
    Map<String, String> attemptHeaders(RequestHead head, AttemptMetadata attempt);

    /** Returns the response headers to forward to the caller, without hop-by-hop and framing headers. */
    MultiMap responseHeaders(MultiMap headers);

    /** Returns whether the head proves that the upstream sent it unmodified; a successful response is relayed only then. */
    boolean isAuthentic(int status, MultiMap headers);

    /** Returns the model's confidence in its answer, from 0 to 100, if stated. */
    OptionalInt confidence(MultiMap headers);

    /** Returns the headers of an error response that the router itself creates. */
    Map<String, String> errorHeaders(String requestId, Duration retryAfter);

    /** Returns the rules that responses of upstreams must follow. */
    ResponseRules responseRules();
}
