package org.baobabcart.router.gateway;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import org.baobabcart.router.platform.ObjectStore;
import org.baobabcart.router.timeline.Timeline;

/**
 * Dependencies of a router of the opaque request path. Immutable.
 *
 * @param vertx provides event loops
 * @param settings the settings
 * @param ports the addresses and ports to listen on
 * @param stopTimes the durations of the phases of a planned stop
 * @param codec translates HTTP headers of callers and upstreams
 * @param objects decodes objects of the platform's store
 * @param store the platform's store
 * @param timeline records events
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
