package org.baobabcart.router.exchange;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The requests of a server that have not ended, each with the event loop of its connection. Thread-safe. */
public final class RunningRequests {
    private final Map<CallerExchange, Context> contexts = new ConcurrentHashMap<>();

    private RunningRequests() {}

    /** Creates an instance without requests. */
    public static RunningRequests create() {
        return new RunningRequests();
    }

    /** Adds a request until it ends. Must be called on the event loop of its connection. */
    public void add(Vertx vertx, CallerExchange exchange) {
        contexts.put(exchange, vertx.getOrCreateContext());
        exchange.addEndAction(() -> contexts.remove(exchange));
    }

    /** Answers the requests that still run, because the process ends now. */
    public void endAll() {
        contexts.forEach((exchange, context) -> context.runOnContext(ignored -> exchange.endForStop()));
    }
}
