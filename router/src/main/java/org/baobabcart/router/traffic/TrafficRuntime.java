package org.baobabcart.router.traffic;

import io.vertx.core.Vertx;
import org.baobabcart.router.attempt.AttemptParts;
import org.baobabcart.router.cascade.CascadeChooser;
import org.baobabcart.router.exchange.Drain;
import org.baobabcart.router.exchange.ExchangeParts;
import org.baobabcart.router.upstream.Dispatcher;
import org.baobabcart.router.upstream.UpstreamClient;

/** What all requests of one process share; each part is thread-safe. Immutable. */
record TrafficRuntime(
        Vertx vertx,
        TrafficParts parts,
        TrafficSettings settings,
        ExchangeParts exchanges,
        AttemptParts attempts,
        Guards guards,
        CascadeChooser cascades) {
    /** What limits retries and the stop of the process. */
    record Guards(RetryGuard retries, Drain drain, Evidence evidence) {}

    /** Gives slots at upstreams. */
    Dispatcher dispatcher() {
        return attempts.dispatcher();
    }

    /** Sends attempts. */
    UpstreamClient upstreams() {
        return attempts.upstreams();
    }

    /** The running requests. */
    Drain drain() {
        return guards.drain();
    }
}
