package org.baobabcart.router.gateway;

/**
 * Where a router listens. Immutable.
 *
 * @param callerHost the address for callers
 * @param callerPort the port for callers
 * @param readinessHost the address for the balancer's question and for metrics
 * @param readinessPort its port
 * @param metricsPath the path of the metrics on that port; all other paths answer the balancer
 */
public record GatewayPorts(
        String callerHost, int callerPort, String readinessHost, int readinessPort, String metricsPath) {}
