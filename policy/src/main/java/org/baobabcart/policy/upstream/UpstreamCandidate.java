package org.baobabcart.policy.upstream;

import java.util.Optional;

/**
 * An upstream that could take a piece of work, as one router sees it. Immutable.
 *
 * @param name the upstream's name
 * @param local whether it stands in the router's own data centre
 * @param inFlight requests that this router keeps there
 * @param limit how many this router may keep there
 * @param report what it last said of its load
 * @param reportAgeNanos how old the report is
 * @param inFlightAtReport requests that this router kept there at the time of the report
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

    /** Whether this router may send one more request there. */
    public boolean hasRoom() {
        return inFlight < limit;
    }

    /**
     * The expected number of requests there: this router's own, which it knows, and those of others, which it was told
     * of and which count for half after each second.
     */
    public double load() {
        double others = report.map(this::ofOthers).orElse(0.0);
        return inFlight + others * Math.pow(2, -reportAgeNanos / HALF_LIFE_NANOS);
    }

    /** The load for each request that can run there at once. */
    public double utilization() {
        int slots = report.map(LoadReport::slots).orElse(limit);
        return (load() + 1) / Math.max(1, slots);
    }

    private double ofOthers(LoadReport known) {
        return Math.max(0, known.running() + known.waiting() - inFlightAtReport);
    }
}
