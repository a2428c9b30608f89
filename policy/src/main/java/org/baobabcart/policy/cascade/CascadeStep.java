package org.baobabcart.policy.cascade;

/**
 * One step of a cascade. Immutable.
 *
 * @param reference the model or {@code model@version}
 * @param cost the cost of an answer, in any unit shared by all steps
 * @param declaredQuality the rating that the sheet declares for the step, from 0 to 1
 */
public record CascadeStep(String reference, double cost, double declaredQuality) {}
