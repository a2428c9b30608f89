package org.baobabcart.model.platform;

import java.util.List;

/**
 * Where operators' tools find the fleet, kept in the platform so that the platform's address is all they need. Immutable.
 *
 * @param virtualMachines the address of the platform's list of VMs, or empty
 * @param routers {@code host:port} of admin ports to ask first; the answers name the other routers
 */
public record FleetEndpoints(String virtualMachines, List<String> routers) {
    /** Replaces missing parts by empty ones. */
    public FleetEndpoints {
        virtualMachines = virtualMachines == null ? "" : virtualMachines;
        routers = routers == null ? List.of() : List.copyOf(routers);
    }

    /** Endpoints of a fleet of which nothing is known. */
    public static FleetEndpoints empty() {
        return new FleetEndpoints("", List.of());
    }
}
