package org.baobabcart.router.gateway;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import org.baobabcart.router.platform.ObjectStore;
import org.baobabcart.router.timeline.Timeline;

/**
 * What a router of the opaque request path is made of. Immutable.
 *
 * @param vertx event loops
 * @param settings the settings
 * @param ports where it listens
 * @param stopTimes the times of a planned stop
 * @param codec how callers and upstreams are spoken to
 * @param objects what the platform's objects mean
 * @param store the platform's store
 * @param timeline events
 * @param metrics counters and histograms
 */
public record GatewayDependencies(
        Vertx vertx,
        GatewaySettings settings,
        GatewayPorts ports,
        GatewayStopTimes stopTimes,
        GatewayCodec codec,
        GatewayObjectCodec objects,
        ObjectStore store,
        Timeline timeline,
        MetricRegistry metrics) {}
