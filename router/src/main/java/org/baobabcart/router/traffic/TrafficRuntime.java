package org.baobabcart.router.traffic;

import io.vertx.core.Vertx;
import org.baobabcart.router.attempt.AttemptDependencies;
import org.baobabcart.router.cascade.CascadeChooser;
import org.baobabcart.router.exchange.BodyReader;
import org.baobabcart.router.exchange.ClientMemory;
import org.baobabcart.router.exchange.DrainState;
import org.baobabcart.router.exchange.ExchangeDependencies;
import org.baobabcart.router.upstream.Dispatcher;
import org.baobabcart.router.upstream.UpstreamClient;

/** State and dependencies shared by all requests of the process; each component is thread-safe. Immutable. */
record TrafficRuntime(
        Vertx vertx,
        TrafficDependencies dependencies,
        TrafficSettings settings,
        ExchangeDependencies exchanges,
        AttemptDependencies attempts,
        Guards guards,
        CascadeChooser cascades,
        BodyReader bodies,
        ClientMemory clientMemory) {
    /** The shared retry budget, the drain state, and the reporter of version outcomes. */
    record Guards(SharedRetryBudget retries, DrainState drain, VersionOutcomeReporter versionOutcomes) {}

    /** Returns the dispatcher that assigns slots at upstreams. */
    Dispatcher dispatcher() {
        return attempts.dispatcher();
    }

    /** Returns the client that sends attempts. */
    UpstreamClient upstreams() {
        return attempts.upstreams();
    }

    /** Returns the drain state. */
    DrainState drain() {
        return guards.drain();
    }
}
