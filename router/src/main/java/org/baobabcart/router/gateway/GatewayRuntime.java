package org.baobabcart.router.gateway;

import io.vertx.core.Vertx;
import org.baobabcart.policy.cascade.FirstByteEstimator;
import org.baobabcart.policy.cascade.LatencyPressure;
import org.baobabcart.policy.version.VersionOutcomeRecorder;
import org.baobabcart.router.attempt.AttemptDependencies;
import org.baobabcart.router.exchange.ExchangeDependencies;

/**
 * What the requests of the opaque path share. Immutable; each part is thread-safe or says where it is used.
 *
 * @param vertx event loops
 * @param settings the settings
 * @param codec how callers and upstreams are spoken to
 * @param exchanges what all exchanges with callers share
 * @param attempts what all attempts share
 * @param reach what this router can reach
 * @param retries the retry budgets of the services
 * @param evidence outcomes by version
 * @param pressure how late answers of the largest models begin; confined to the only event loop of the traffic
 * @param forecast when answers of the largest models probably begin; confined like the pressure
 * @param requests how long requests and attempts take; confined like the pressure
 * @param buffers the bytes of bodies that are kept
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
