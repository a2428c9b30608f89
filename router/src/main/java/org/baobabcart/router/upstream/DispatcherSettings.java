package org.baobabcart.router.upstream;

import org.baobabcart.policy.admission.AdmissionQueue;

/**
 * Settings of a dispatcher. Immutable.
 *
 * @param router the router's name
 * @param dataCentre the data centre it stands in
 * @param queue the bounds of each pool's queue
 * @param subset the most upstreams of a pool and data centre that the router sends to
 * @param affinityAcross whether work with an affinity goes to any data centre alike, so that like work of all routers meets
 *     at one upstream
 */
public record DispatcherSettings(
        String router, String dataCentre, AdmissionQueue.Settings queue, int subset, boolean affinityAcross) {
    /** Bounds the connections of a large fleet, while the loss of an upstream still leaves many others. */
    private static final int DEFAULT_SUBSET = 24;

    /** Settings of a dispatcher that prefers its own data centre for all work. */
    public DispatcherSettings(String router, String dataCentre, AdmissionQueue.Settings queue) {
        this(router, dataCentre, queue, DEFAULT_SUBSET, false);
    }

    /**
     * The same settings with affinity across data centres, for which all routers have to choose among the same upstreams.
     */
    public DispatcherSettings withAffinityAcross() {
        return new DispatcherSettings(router, dataCentre, queue, Integer.MAX_VALUE, true);
    }
}
