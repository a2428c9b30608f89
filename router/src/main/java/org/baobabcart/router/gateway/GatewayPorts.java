package org.baobabcart.router.gateway;

/**
 * Where a router listens. Immutable.
 *
 * @param callerHost the address for callers
 * @param callerPort the port for callers
 * @param readinessHost the address for the balancer's question and for metrics
 * @param readinessPort the port for the balancer's question
 * @param metricsPort the port for metrics
 * @param metricsPath the path of the metrics
 */
public record GatewayPorts(
        String callerHost,
        int callerPort,
        String readinessHost,
        int readinessPort,
        int metricsPort,
        String metricsPath) {}
