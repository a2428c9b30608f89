package org.baobabcart.policy.cascade;

/**
 * One step of a cascade. Immutable.
 *
 * @param reference the model or {@code model@version}
 * @param cost what an answer costs, in any unit that all steps share
 * @param declaredQuality the rating that the sheet expects, from 0 to 1
 */
public record CascadeStep(String reference, double cost, double declaredQuality) {}
