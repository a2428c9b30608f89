package org.baobabcart.launcher;

/** How the processes of a fleet reach each other. Immutable. */
public enum FleetLinks {
    /** Each process calls the ports of the others. */
    DIRECT,
    /** Each data centre's routers reach the platform by a fault proxy of their own. */
    PLATFORM_PROXIES,
    /** Routers reach each other, upstreams and the platform by a network that can be cut between data centres. */
    NETWORK
}
