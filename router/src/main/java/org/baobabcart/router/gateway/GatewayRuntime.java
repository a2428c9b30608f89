package org.baobabcart.router.gateway;

import io.vertx.core.Vertx;
import org.baobabcart.policy.cascade.AnswerPressure;
import org.baobabcart.policy.cascade.BeginningForecast;
import org.baobabcart.policy.version.VersionEvidence;
import org.baobabcart.router.attempt.AttemptParts;
import org.baobabcart.router.exchange.ExchangeParts;

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
        ExchangeParts exchanges,
        AttemptParts attempts,
        Reach reach,
        ServiceRetries retries,
        VersionEvidence evidence,
        AnswerPressure pressure,
        BeginningForecast forecast,
        RequestMetrics requests,
        BufferBudget buffers) {}
