package org.baobabcart.launcher;

import java.util.List;

/**
 * A workspace of a local fleet with its key in the clear, which only tests and the demo know. Immutable.
 *
 * @param name the workspace's name
 * @param key the key that its callers send
 * @param models models and cascades that it may use
 * @param services services that it may call
 * @param weight its relative claim to capacity
 */
public record FleetWorkspace(String name, String key, List<String> models, List<String> services, double weight) {
    /** Copies the lists. */
    public FleetWorkspace {
        models = List.copyOf(models);
        services = List.copyOf(services);
    }
}
