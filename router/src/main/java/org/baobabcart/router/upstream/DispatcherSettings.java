package org.baobabcart.router.upstream;

import org.baobabcart.policy.admission.AdmissionQueue;

/**
 * Settings of a dispatcher. Immutable.
 *
 * @param router the router's name
 * @param dataCentre the data centre it stands in
 * @param queue the bounds of each pool's queue
 * @param affinityAcross whether work with an affinity goes to any data centre alike, so that like work of all routers meets
 *     at one upstream
 */
public record DispatcherSettings(
        String router, String dataCentre, AdmissionQueue.Settings queue, boolean affinityAcross) {
    /** Settings of a dispatcher that prefers its own data centre for all work. */
    public DispatcherSettings(String router, String dataCentre, AdmissionQueue.Settings queue) {
        this(router, dataCentre, queue, false);
    }

    /** The same settings with affinity across data centres. */
    public DispatcherSettings withAffinityAcross() {
        return new DispatcherSettings(router, dataCentre, queue, true);
    }
}
