package org.baobabcart.model.platform;

import java.util.List;

/**
 * The addresses at which operators' tools find the fleet. They are stored in the platform, so that the tools need only the platform's
 * address. Immutable.
 *
 * @param virtualMachines the address of the platform's list of VMs; may be empty
 * @param routers {@code host:port} of the admin ports to contact first; their responses list the other routers
 */
public record FleetEndpoints(String virtualMachines, List<String> routers) {
    /** Copies the list and replaces null by empty values. */
    public FleetEndpoints {
        virtualMachines = virtualMachines == null ? "" : virtualMachines;
        routers = routers == null ? List.of() : List.copyOf(routers);
    }

    /** Returns endpoints without any address. */
    public static FleetEndpoints empty() {
        return new FleetEndpoints("", List.of());
    }
}
