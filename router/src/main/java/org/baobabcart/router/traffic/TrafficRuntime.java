package org.baobabcart.router.traffic;

import io.vertx.core.Vertx;
import org.baobabcart.router.cascade.CascadeChooser;
import org.baobabcart.router.exchange.Drain;
import org.baobabcart.router.upstream.Dispatcher;
import org.baobabcart.router.upstream.UpstreamClient;
import org.baobabcart.router.upstream.UpstreamHealth;

/** What all requests of one process share; each part is thread-safe. Immutable. */
record TrafficRuntime(
        Vertx vertx,
        TrafficParts parts,
        TrafficSettings settings,
        Dispatcher dispatcher,
        UpstreamClient upstreams,
        UpstreamHealth health,
        Guards guards,
        CascadeChooser cascades) {
    /** What limits retries, crashes and the stop of the process. */
    record Guards(RetryGuard retries, CrashGuard crashes, Drain drain, Evidence evidence) {}

    /** The running requests. */
    Drain drain() {
        return guards.drain();
    }
}
