package org.baobabcart.router.traffic;

import org.baobabcart.router.upstream.Pool;

/**
 * The model version selected for a step. Immutable.
 *
 * @param model the name of the model
 * @param version the name of the version
 * @param quality the quality declared in the sheet
 * @param fixed whether the caller or the session requires this version, so that it cannot be replaced
 */
record SelectedVersion(String model, String version, double quality, boolean fixed) {
    Pool pool() {
        return Pool.ofModel(model, version);
    }
}
