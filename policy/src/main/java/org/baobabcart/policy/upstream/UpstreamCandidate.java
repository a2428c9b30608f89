package org.baobabcart.policy.upstream;

import java.util.Optional;

/**
 * An upstream that a request could be sent to, from the point of view of one router. Immutable.
 *
 * @param name the upstream's name
 * @param local whether it is in the router's own data centre
 * @param inFlight the number of this router's requests in flight to the upstream
 * @param limit the maximum number of this router's requests in flight to the upstream
 * @param report the upstream's last load report
 * @param reportAgeNanos the age of the report
 * @param inFlightAtReport the number of this router's requests in flight at the time of the report
 */
public record UpstreamCandidate(
        String name,
        boolean local,
        int inFlight,
        int limit,
        Optional<LoadReport> report,
        long reportAgeNanos,
        int inFlightAtReport) {
    private static final double HALF_LIFE_NANOS = 1e9;

    /** Returns whether this router may send one more request to the upstream. */
    public boolean hasCapacity() {
        return inFlight < limit;
    }

    /**
     * Returns the expected number of requests at the upstream: those of this router, and those of other routers
     * according to the last report, whose weight halves every second.
     */
    public double load() {
        double others = report.map(this::loadOfOthers).orElse(0.0);
        return inFlight + others * Math.pow(2, -reportAgeNanos / HALF_LIFE_NANOS);
    }

    /**
     * Returns the load, with one more request, relative to the number of requests that the upstream can run at once.
     */
    public double utilization() {
        int slots = report.map(LoadReport::slots).orElse(limit);
        return (load() + 1) / Math.max(1, slots);
    }

    private double loadOfOthers(LoadReport lastReport) {
        return Math.max(0, lastReport.running() + lastReport.waiting() - inFlightAtReport);
    }
}
