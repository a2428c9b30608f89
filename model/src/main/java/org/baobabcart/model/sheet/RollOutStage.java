package org.baobabcart.model.sheet;

/**
 * One step of a roll-out. Immutable.
 *
 * @param share the share of new work that the new version gets, from 0 to 1
 * @param minimumSeconds the shortest time at this step
 * @param minimumSamples the least number of rated answers before the next step
 */
public record RollOutStage(double share, long minimumSeconds, long minimumSamples) {}
