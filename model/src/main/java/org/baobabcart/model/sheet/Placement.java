package org.baobabcart.model.sheet;

/**
 * The desired number of engines in a data centre that serve a version. Immutable.
 *
 * <p>Engines of a model without a placement in their data centre are not changed.
 *
 * @param dataCentre the data centre's name
 * @param model the model's name
 * @param version the version's name
 * @param engines the number of engines; with zero, all of them may be assigned to other versions
 */
public record Placement(String dataCentre, String model, String version, int engines) {
    /** Returns the key that must be unique among the placements of a sheet. */
    String key() {
        return dataCentre + "/" + model + "@" + version;
    }
}
