package org.baobabcart.router.gateway;

import io.vertx.core.Vertx;
import org.baobabcart.policy.cascade.FirstByteEstimator;
import org.baobabcart.policy.cascade.LatencyPressure;
import org.baobabcart.policy.version.VersionOutcomeRecorder;
import org.baobabcart.router.attempt.AttemptDependencies;
import org.baobabcart.router.exchange.BodyReader;
import org.baobabcart.router.exchange.ClientMemory;
import org.baobabcart.router.exchange.ExchangeDependencies;

/**
 * Objects shared by all requests of the opaque path. Immutable; each component is thread-safe unless stated otherwise.
 *
 * @param vertx provides event loops
 * @param settings the settings
 * @param codec translates HTTP headers of callers and upstreams
 * @param exchanges dependencies of all exchanges with callers
 * @param attempts dependencies of all attempts
 * @param reachability tells which upstreams this router can reach
 * @param retryBudgets the retry budgets of the services
 * @param outcomeRecorder records outcomes by version
 * @param latencyPressure time to first byte of the largest models relative to its target; confined to the traffic's only event loop
 * @param firstByteEstimator estimates the time to first byte of the largest models; confined likewise
 * @param requestMetrics durations of requests and attempts; confined likewise
 * @param bodies reads request bodies within a budget of memory
 * @param clientMemory the memory for heads of requests
 */
record GatewayRuntime(
        Vertx vertx,
        GatewaySettings settings,
        GatewayCodec codec,
        ExchangeDependencies exchanges,
        AttemptDependencies attempts,
        Reachability reachability,
        ServiceRetryBudgets retryBudgets,
        VersionOutcomeRecorder outcomeRecorder,
        LatencyPressure latencyPressure,
        FirstByteEstimator firstByteEstimator,
        RequestMetrics requestMetrics,
        BodyReader bodies,
        ClientMemory clientMemory) {}
