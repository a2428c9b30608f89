package org.baobabcart.router.gateway;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import org.baobabcart.policy.cascade.AnswerPressure;
import org.baobabcart.policy.version.VersionEvidence;
import org.baobabcart.router.timeline.Timeline;
import org.baobabcart.router.upstream.Dispatcher;
import org.baobabcart.router.upstream.UpstreamClient;
import org.baobabcart.router.upstream.UpstreamHealth;
import org.baobabcart.router.view.TrafficViewSource;

/**
 * What the requests of the opaque path share. Immutable; each part is thread-safe or says where it is used.
 *
 * @param vertx event loops
 * @param settings the settings
 * @param codec how callers and upstreams are spoken to
 * @param views what control knows
 * @param dispatcher gives slots at upstreams
 * @param upstreams sends attempts
 * @param health upstreams to pass over
 * @param reach what this router can reach
 * @param retries the retry budgets of the services
 * @param evidence outcomes by version
 * @param pressure how late answers of the largest models begin; confined to the only event loop of the traffic
 * @param buffers the bytes of bodies that are kept
 * @param timeline events
 * @param metrics counters and histograms
 */
record GatewayRuntime(
        Vertx vertx,
        GatewaySettings settings,
        GatewayCodec codec,
        TrafficViewSource views,
        Dispatcher dispatcher,
        UpstreamClient upstreams,
        UpstreamHealth health,
        Reach reach,
        ServiceRetries retries,
        VersionEvidence evidence,
        AnswerPressure pressure,
        BufferBudget buffers,
        Timeline timeline,
        MetricRegistry metrics) {}
