package org.baobabcart.model.sheet;

import java.util.List;
import java.util.Optional;

/**
 * A model and its versions, oldest first. Immutable.
 *
 * @param name the model's name
 * @param versions at least one version
 */
public record Model(String name, List<Version> versions) {
    /** Copies the list of versions and replaces null by an empty list. */
    public Model {
        versions = Lists.copyOrEmpty(versions);
    }

    /** Returns the version with this name, if declared. */
    public Optional<Version> version(String versionName) {
        return versions.stream()
                .filter(version -> version.name().equals(versionName))
                .findFirst();
    }
}
