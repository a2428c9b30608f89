package org.baobabcart.policy.placement;

/**
 * Identifies a version of a model. Immutable.
 *
 * @param model the model's name
 * @param version the version's name
 */
public record ModelVersion(String model, String version) {
    /** Returns a version of a model. */
    public static ModelVersion of(String model, String version) {
        return new ModelVersion(model, version);
    }

    @Override
    public String toString() {
        return model + "@" + version;
    }
}
