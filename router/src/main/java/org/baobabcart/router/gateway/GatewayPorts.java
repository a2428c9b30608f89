package org.baobabcart.router.gateway;

/**
 * Addresses and ports that a router listens on. Immutable.
 *
 * @param callerHost the address for callers
 * @param callerPort the port for callers
 * @param readinessHost the address for readiness checks of the balancer and for metrics
 * @param readinessPort the port for readiness checks
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
