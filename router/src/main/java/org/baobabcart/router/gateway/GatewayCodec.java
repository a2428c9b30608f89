package org.baobabcart.router.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.Map;
import java.util.OptionalInt;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.router.upstream.ResponseRules;

/** How one interface of callers and upstreams spells what the opaque request path works with. Thread-safe and stateless. */
public interface GatewayCodec {
    /**
     * Reads the head of a request.
     *
     * @throws BaobabcartException with a code of the 10xx range where the head cannot be used
     */
    RequestHead decode(HttpServerRequest request);

    /** The headers of an attempt. */
    Map<String, String> attemptHeaders(RequestHead head, AttemptMetadata attempt);

    /** The headers of an upstream's answer that the caller gets, without those of one connection or of the framing. */
    MultiMap answerHeaders(MultiMap headers);

    /** Whether the head proves that it comes whole from the upstream; only then may a success be passed on. */
    boolean isAuthentic(int status, MultiMap headers);

    /** How sure the model is of its answer, from 0 to 100, where it says. */
    OptionalInt confidence(MultiMap headers);

    /** The headers of an answer that the router makes itself. */
    Map<String, String> refusalHeaders(String requestId, Duration retryAfter);

    /** How upstreams answer. */
    ResponseRules answerRules();
}
