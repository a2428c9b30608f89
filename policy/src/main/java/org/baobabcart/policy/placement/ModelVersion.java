package org.baobabcart.policy.placement;

/**
 * A version of a model that an engine serves or is to serve. Immutable.
 *
 * @param model the model's name
 * @param version the version's name
 */
public record ModelVersion(String model, String version) {
    /** A version of a model. */
    public static ModelVersion of(String model, String version) {
        return new ModelVersion(model, version);
    }

    @Override
    public String toString() {
        return model + "@" + version;
    }
}
