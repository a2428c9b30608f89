package org.baobabcart.policy.session;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Content of a session token. Immutable.
 *
 * @param workspace the workspace that the session belongs to
 * @param versions the version pinned for each model that the session has used, in the order of their last use
 */
public record SessionToken(String workspace, Map<String, String> versions) {
    private static final int MAXIMUM_MODELS = 8;

    /** Copies the map. */
    public SessionToken {
        versions = Collections.unmodifiableMap(new LinkedHashMap<>(versions));
    }

    /** Returns the token of a session that has not used any model yet. */
    public static SessionToken create(String workspace) {
        return new SessionToken(workspace, Map.of());
    }

    /** Returns the version pinned for a model. */
    public Optional<String> version(String model) {
        return Optional.ofNullable(versions.get(model));
    }

    /**
     * Returns this token with the version pinned for a model; the least recently used models are evicted beyond the
     * limit.
     */
    public SessionToken withVersion(String model, String version) {
        Map<String, String> changed = new LinkedHashMap<>(versions);
        changed.remove(model);
        changed.put(model, version);
        while (changed.size() > MAXIMUM_MODELS) {
            changed.remove(changed.keySet().iterator().next());
        }
        return new SessionToken(workspace, changed);
    }
}
