package org.baobabcart.policy.placement;

/**
 * Desired engines of a version that can't be provided now. Immutable.
 *
 * @param target the version
 * @param missing the number of missing engines
 * @param reason the reason
 */
public record Shortfall(ModelVersion target, int missing, Reason reason) {
    /** Reason why engines are missing. */
    public enum Reason {
        WITHDRAWN,
        SETTLING,
        LOADS_FAILED,
        LOADS_LIMITED,
        LAST_OF_ITS_VERSION,
        NO_SPARE_ENGINE
    }
}
