package org.baobabcart.cli.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * All routers that the list of VMs or a live router takes for live. Immutable.
 *
 * @param routers in the order of their names
 */
public record Fleet(List<FleetRouter> routers) {
    /** Sorts the routers. */
    public Fleet {
        routers =
                routers.stream().sorted(Comparator.comparing(FleetRouter::name)).toList();
    }

    /** The routers that answered. */
    public List<FleetRouter> answering() {
        return routers.stream().filter(router -> router.status().isPresent()).toList();
    }

    /** The router of this name, if known. */
    public Optional<FleetRouter> router(String name) {
        return routers.stream().filter(router -> router.name().equals(name)).findFirst();
    }
}
