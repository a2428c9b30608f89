package org.baobabcart.model.sheet;

import java.util.List;
import java.util.Optional;

/**
 * A model and its versions, the oldest version first. Immutable.
 *
 * @param name the model's name
 * @param versions at least one version
 */
public record Model(String name, List<Version> versions) {
    /** Copies the list of versions. */
    public Model {
        versions = Lists.copyOrEmpty(versions);
    }

    /** The version of this name, if declared. */
    public Optional<Version> version(String versionName) {
        return versions.stream()
                .filter(version -> version.name().equals(versionName))
                .findFirst();
    }
}
