package org.baobabcart.router.gateway;

/**
 * How many requests a cold upstream may get in any second from all routers together: the rate that its service declares, times
 * {@code overshoot}, plus {@code slack}. Immutable.
 *
 * @param overshoot a factor of the declared rate, at least one
 * @param slack a number of requests
 */
public record WarmUpTolerance(double overshoot, double slack) {
    /** Returns the bound on requests in any second for a declared rate. */
    public double maxPerSecond(double requestsPerSecond) {
        return requestsPerSecond * overshoot + slack;
    }
}
