package org.baobabcart.model.sheet;

import java.util.List;

/**
 * A customer of the shared fleet: its keys, permissions and weight. Immutable.
 *
 * @param name the workspace's name
 * @param keyHashes SHA-256 digests of its keys, in lower-case hexadecimal
 * @param models what it may use: models, {@code model@version} or cascades
 * @param services the services it may call
 * @param weight its weight in the division of capacity within a rank
 */
public record Workspace(
        String name, List<String> keyHashes, List<String> models, List<String> services, double weight) {
    /** Copies the lists and replaces null by empty lists. */
    public Workspace {
        keyHashes = Lists.copyOrEmpty(keyHashes);
        models = Lists.copyOrEmpty(models);
        services = Lists.copyOrEmpty(services);
    }

    /** Returns whether the workspace may use the version, by an entry for the model or for the version itself. */
    public boolean allows(String model, String version) {
        return models.contains(model) || models.contains(model + "@" + version);
    }
}
