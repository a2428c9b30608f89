package org.baobabcart.router.traffic;

import io.vertx.core.Vertx;
import org.baobabcart.router.attempt.AttemptParts;
import org.baobabcart.router.cascade.CascadeChooser;
import org.baobabcart.router.exchange.Drain;
import org.baobabcart.router.exchange.ExchangeParts;
import org.baobabcart.router.upstream.Dispatcher;
import org.baobabcart.router.upstream.UpstreamClient;

/** State and dependencies shared by all requests of the process; each component is thread-safe. Immutable. */
record TrafficRuntime(
        Vertx vertx,
        TrafficParts parts,
        TrafficSettings settings,
        ExchangeParts exchanges,
        AttemptParts attempts,
        Guards guards,
        CascadeChooser cascades) {
    /** The shared retry budget, the drain state, and the reporter of version outcomes. */
    record Guards(RetryGuard retries, Drain drain, Evidence versionOutcomes) {}

    /** Returns the dispatcher that assigns slots at upstreams. */
    Dispatcher dispatcher() {
        return attempts.dispatcher();
    }

    /** Returns the client that sends attempts. */
    UpstreamClient upstreams() {
        return attempts.upstreams();
    }

    /** Returns the drain state. */
    Drain drain() {
        return guards.drain();
    }
}
