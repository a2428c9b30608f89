package org.baobabcart.router.exchange;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.time.Duration;
import org.baobabcart.router.timeline.Timeline;

/**
 * Dependencies shared by all exchanges of one interface. Immutable; each component is thread-safe.
 *
 * @param vertx provides event loops
 * @param timeline records events
 * @param metrics counters and histograms
 * @param errorFormat the format of errors
 * @param callerStall how long a caller may stop reading its response
 */
public record ExchangeDependencies(
        Vertx vertx, Timeline timeline, MetricRegistry metrics, ErrorFormat errorFormat, Duration callerStall) {}
