package org.baobabcart.router.traffic;

import org.baobabcart.router.upstream.Pool;

/**
 * A version that a step runs on. Immutable.
 *
 * @param model the model's name
 * @param version the version's name
 * @param quality the quality that the sheet declares for it
 * @param fixed whether the caller or the session named it, so that no other may take its place
 */
record SelectedVersion(String model, String version, double quality, boolean fixed) {
    Pool pool() {
        return Pool.ofModel(model, version);
    }
}
