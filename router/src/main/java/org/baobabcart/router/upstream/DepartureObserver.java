package org.baobabcart.router.upstream;

import org.baobabcart.policy.departure.PlacementReason;

/** Observes which requests leave the router's data centre. Called under the dispatcher's lock, so it must not block. */
public interface DepartureObserver {
    /** A request was assigned to an upstream in a data centre. */
    void placed(String dataCentre, PlacementReason reason);

    /** Requests of a pool begin to leave the data centre although it has usable upstreams, or none leave any more. */
    void departing(Pool pool, boolean departing);

    /** Returns an observer that ignores everything. */
    static DepartureObserver none() {
        return new DepartureObserver() {
            @Override
            public void placed(String dataCentre, PlacementReason reason) {}

            @Override
            public void departing(Pool pool, boolean departing) {}
        };
    }
}
