package org.baobabcart.model.sheet;

/**
 * How many engines of a data centre are to serve a version. Immutable.
 *
 * <p>Engines of a model that no placement of their data centre names are left as they are.
 *
 * @param dataCentre the data centre's name
 * @param model the model's name
 * @param version the version's name
 * @param engines the number of engines; zero lets them all be given to other versions
 */
public record Placement(String dataCentre, String model, String version, int engines) {
    /** What may stand only once in a sheet. */
    String key() {
        return dataCentre + "/" + model + "@" + version;
    }
}
