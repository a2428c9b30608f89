package org.baobabcart.launcher;

/** Specifies how the processes of a fleet connect to each other. Immutable. */
public enum FleetLinks {
    /** Processes connect directly to each other. */
    DIRECT,
    /** The routers of each data centre connect to the platform through a separate fault proxy. */
    PLATFORM_PROXIES,
    /** Routers connect to each other, upstreams and the platform through a simulated network with partitions. */
    NETWORK
}
