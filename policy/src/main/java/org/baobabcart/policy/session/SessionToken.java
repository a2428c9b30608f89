package org.baobabcart.policy.session;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What a session token states. Immutable.
 *
 * @param workspace the workspace that the session belongs to
 * @param versions the version that the session keeps of each model that it has used, in the order of their use
 */
public record SessionToken(String workspace, Map<String, String> versions) {
    private static final int MODELS_LIMIT = 8;

    /** Copies the map. */
    public SessionToken {
        versions = Collections.unmodifiableMap(new LinkedHashMap<>(versions));
    }

    /** A session that has used no model yet. */
    public static SessionToken fresh(String workspace) {
        return new SessionToken(workspace, Map.of());
    }

    /** The version that the session keeps of a model. */
    public Optional<String> version(String model) {
        return Optional.ofNullable(versions.get(model));
    }

    /** The same session with the version that it keeps of a model; the models used longest ago fall out. */
    public SessionToken withVersion(String model, String version) {
        Map<String, String> changed = new LinkedHashMap<>(versions);
        changed.remove(model);
        changed.put(model, version);
        while (changed.size() > MODELS_LIMIT) {
            changed.remove(changed.keySet().iterator().next());
        }
        return new SessionToken(workspace, changed);
    }
}
