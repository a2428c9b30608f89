package org.baobabcart.router.upstream;

/** The result of a health check of an upstream on a new connection. */
public enum HealthCheckResult {
    HEALTHY,
    /** The upstream accepted the connection but did not respond in time. It may be busy or frozen, but it has not ended. */
    LATE,
    /** The upstream accepted no connection, closed it, or responded that it is not healthy. */
    FAILED,
    /** Another upstream has the address, so the upstream has ended. */
    REPLACED;

    /** Returns whether the upstream passed the check. */
    public boolean isHealthy() {
        return this == HEALTHY;
    }
}
