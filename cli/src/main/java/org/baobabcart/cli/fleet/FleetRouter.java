package org.baobabcart.cli.fleet;

import java.util.Optional;

/**
 * A router of the fleet as operators see it. Immutable.
 *
 * @param name the router's name
 * @param dataCentre the data centre it stands in
 * @param adminAddress {@code host:port} of its admin port, empty where nobody knows it
 * @param status what it said of itself, if it answered
 * @param problem why there is no status, empty where there is one
 */
public record FleetRouter(
        String name, String dataCentre, String adminAddress, Optional<RouterStatus> status, String problem) {
    /** A router that answered. */
    public static FleetRouter answered(String adminAddress, RouterStatus status) {
        return new FleetRouter(status.name(), status.dataCentre(), adminAddress, Optional.of(status), "");
    }

    /** A router that should be live but gave no answer. */
    public static FleetRouter silent(String name, String dataCentre, String adminAddress, String problem) {
        return new FleetRouter(name, dataCentre, adminAddress, Optional.empty(), problem);
    }
}
