package org.baobabcart.cli.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * All routers that are live according to the list of VMs or to a live router. Immutable.
 *
 * @param routers the routers, sorted by name
 */
public record Fleet(List<FleetRouter> routers) {
    /** Sorts the routers by name. */
    public Fleet {
        routers =
                routers.stream().sorted(Comparator.comparing(FleetRouter::name)).toList();
    }

    /** Returns the routers that responded. */
    public List<FleetRouter> responding() {
        return routers.stream().filter(router -> router.status().isPresent()).toList();
    }

    /** Returns the router with a name, if known. */
    public Optional<FleetRouter> router(String name) {
        return routers.stream().filter(router -> router.name().equals(name)).findFirst();
    }
}
