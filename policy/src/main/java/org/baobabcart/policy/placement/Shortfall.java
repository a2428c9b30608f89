package org.baobabcart.policy.placement;

/**
 * Engines that are wanted and cannot be had now. Immutable.
 *
 * @param target the version
 * @param missing how many engines
 * @param reason why
 */
public record Shortfall(ModelVersion target, int missing, Reason reason) {
    /** Why engines are missing. */
    public enum Reason {
        WITHDRAWN,
        SETTLING,
        LOADS_FAILED,
        LOADS_LIMITED,
        LAST_OF_ITS_VERSION,
        NO_SPARE_ENGINE
    }
}
