package org.baobabcart.model.sheet;

import java.util.List;

/**
 * A customer of the shared fleet with its keys, allowances and weight. Immutable.
 *
 * @param name the workspace's name
 * @param keyHashes lower-case hexadecimal SHA-256 digests of its keys
 * @param models what it may use: names of models, {@code model@version} or cascades
 * @param services names of the services it may call
 * @param weight its relative claim to capacity within a rank
 */
public record Workspace(
        String name, List<String> keyHashes, List<String> models, List<String> services, double weight) {
    /** Copies the lists. */
    public Workspace {
        keyHashes = Lists.copyOrEmpty(keyHashes);
        models = Lists.copyOrEmpty(models);
        services = Lists.copyOrEmpty(services);
    }

    /** Whether it may use the version, either by the model's or by the version's own name. */
    public boolean allows(String model, String version) {
        return models.contains(model) || models.contains(model + "@" + version);
    }
}
