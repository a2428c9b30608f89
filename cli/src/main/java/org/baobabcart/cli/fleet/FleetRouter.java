package org.baobabcart.cli.fleet;

import java.util.Optional;

/**
 * A router of the fleet and its status. Immutable.
 *
 * @param name the name of the router
 * @param dataCentre the data centre of the router
 * @param adminAddress the {@code host:port} of the admin port, or empty if unknown
 * @param status the reported status, if the router responded
 * @param problem the reason for a missing status, or empty
 */
public record FleetRouter(
        String name, String dataCentre, String adminAddress, Optional<RouterStatus> status, String problem) {
    /** Creates a router that responded. */
    public static FleetRouter responding(String adminAddress, RouterStatus status) {
        return new FleetRouter(status.name(), status.dataCentre(), adminAddress, Optional.of(status), "");
    }

    /** Creates a router that should be live but did not respond. */
    public static FleetRouter unresponsive(String name, String dataCentre, String adminAddress, String problem) {
        return new FleetRouter(name, dataCentre, adminAddress, Optional.empty(), problem);
    }
}
