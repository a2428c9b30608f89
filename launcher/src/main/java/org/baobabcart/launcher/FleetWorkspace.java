package org.baobabcart.launcher;

import java.util.List;

/**
 * A workspace of a local fleet with its unhashed key, which only tests and the demo have. Immutable.
 *
 * @param name the workspace's name
 * @param key the key that callers send
 * @param models the models and cascades that the workspace may use
 * @param services the services that the workspace may call
 * @param weight the relative share of capacity
 */
public record FleetWorkspace(String name, String key, List<String> models, List<String> services, double weight) {
    /** Copies the lists. */
    public FleetWorkspace {
        models = List.copyOf(models);
        services = List.copyOf(services);
    }
}
