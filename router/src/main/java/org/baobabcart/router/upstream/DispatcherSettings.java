package org.baobabcart.router.upstream;

import org.baobabcart.policy.admission.AdmissionQueue;

/**
 * Settings of a {@link Dispatcher}. Immutable.
 *
 * @param router the name of the router
 * @param dataCentre the data centre of the router
 * @param queue the limits of each pool's queue
 * @param subsetSize the maximum number of upstreams per pool that the router sends to in its own data centre, and
 *     likewise in all others together
 * @param crossDataCentreAffinity whether requests with an affinity treat all data centres alike, so that requests with the
 *     same affinity from all routers reach the same upstream
 * @param departures whether requests leave the data centre when callers gain by it, not only when all local upstreams are
 *     full
 */
public record DispatcherSettings(
        String router,
        String dataCentre,
        AdmissionQueue.Settings queue,
        int subsetSize,
        boolean crossDataCentreAffinity,
        boolean departures) {
    /** Limits the number of connections in a large fleet, while many upstreams remain if one is lost. */
    private static final int DEFAULT_SUBSET_SIZE = 24;

    /** Creates settings that prefer the router's own data centre for all requests. */
    public DispatcherSettings(String router, String dataCentre, AdmissionQueue.Settings queue) {
        this(router, dataCentre, queue, DEFAULT_SUBSET_SIZE, false, false);
    }

    /**
     * Returns these settings with affinity across data centres. Subsetting is turned off, because all routers have to
     * choose among the same upstreams.
     */
    public DispatcherSettings withCrossDataCentreAffinity() {
        return new DispatcherSettings(router, dataCentre, queue, Integer.MAX_VALUE, true, departures);
    }

    /** Returns these settings with departures to other data centres. */
    public DispatcherSettings withDepartures() {
        return new DispatcherSettings(router, dataCentre, queue, subsetSize, crossDataCentreAffinity, true);
    }
}
