package org.baobabcart.router.gateway;

import io.vertx.core.Vertx;
import org.baobabcart.policy.cascade.FirstByteEstimator;
import org.baobabcart.policy.cascade.LatencyPressure;
import org.baobabcart.policy.version.VersionOutcomeRecorder;
import org.baobabcart.router.attempt.AttemptDependencies;
import org.baobabcart.router.exchange.ExchangeDependencies;

/**
 * Objects shared by all requests of the opaque path. Immutable; each component is thread-safe unless stated otherwise.
 *
 * @param vertx provides event loops
 * @param settings the settings
 * @param codec translates HTTP headers of callers and upstreams
 * @param exchanges dependencies of all exchanges with callers
 * @param attempts dependencies of all attempts
 * @param reach tells which upstreams this router can reach
 * @param retries the retry budgets of the services
 * @param evidence outcomes by version
 * @param pressure time to first byte of the largest models relative to its target; confined to the traffic's only event loop
 * @param forecast estimates the time to first byte of the largest models; confined like the pressure
 * @param requests durations of requests and attempts; confined like the pressure
 * @param buffers limits the bytes of buffered request bodies
 */
record GatewayRuntime(
        Vertx vertx,
        GatewaySettings settings,
        GatewayCodec codec,
        ExchangeDependencies exchanges,
        AttemptDependencies attempts,
        Reachability reach,
        ServiceRetryBudgets retries,
        VersionOutcomeRecorder evidence,
        LatencyPressure pressure,
        FirstByteEstimator forecast,
        RequestMetrics requests,
        BufferBudget buffers) {}
