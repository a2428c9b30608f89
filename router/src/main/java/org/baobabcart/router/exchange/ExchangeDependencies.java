package org.baobabcart.router.exchange;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.time.Duration;
import org.baobabcart.router.timeline.Timeline;

/**
 * What the exchanges of one interface share. Immutable; each part is thread-safe.
 *
 * @param vertx event loops
 * @param timeline events
 * @param metrics counters and histograms
 * @param form how this interface spells errors
 * @param callerStall how long a caller may leave an answer unread
 */
public record ExchangeDependencies(
        Vertx vertx, Timeline timeline, MetricRegistry metrics, ErrorFormat form, Duration callerStall) {}
