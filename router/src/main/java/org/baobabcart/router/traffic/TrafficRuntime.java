package org.baobabcart.router.traffic;

import io.vertx.core.Vertx;
import org.baobabcart.router.upstream.Dispatcher;
import org.baobabcart.router.upstream.UpstreamClient;

/** What all requests of one process share; each part is thread-safe. Immutable. */
record TrafficRuntime(
        Vertx vertx,
        TrafficParts parts,
        TrafficSettings settings,
        Dispatcher dispatcher,
        UpstreamClient upstreams,
        Drain drain) {}
