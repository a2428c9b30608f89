package org.baobabcart.router.transport;

import io.vertx.core.VertxException;
import io.vertx.core.http.HttpClientRequest;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Utility for limiting interim responses (RFC 9110, section 15.2), which a server may send in any number before its
 * final response. A server that never ends them would occupy the event loop until the request times out.
 */
public final class InterimResponses {
    /** Servers send one or two. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    private InterimResponses() {}

    /**
     * Limits the interim responses to a request that has not been sent. Once there are more, the connection is closed.
     *
     * @param exceeded receives the failure, on the event loop of the request and before the connection is closed
     */
    public static void limit(HttpClientRequest request, Consumer<VertxException> exceeded) {
        AtomicInteger received = new AtomicInteger();
        Runnable count = () -> {
            if (received.incrementAndGet() == MAX_INTERIM_RESPONSES + 1) {
                exceeded.accept(new VertxException("more than " + MAX_INTERIM_RESPONSES + " interim responses", true));
                Connections.abort(request.connection());
            }
        };
        request.continueHandler(ignored -> count.run());
        request.earlyHintsHandler(ignored -> count.run());
    }
}
