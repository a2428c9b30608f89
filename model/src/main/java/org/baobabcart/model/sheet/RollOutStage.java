package org.baobabcart.model.sheet;

/**
 * One stage of a roll-out. Immutable.
 *
 * @param share the fraction of new work, from 0 to 1, that is sent to the new version
 * @param minimumSeconds the minimum duration of the stage, in seconds
 * @param minimumSamples the minimum number of rated answers before the next stage
 */
public record RollOutStage(double share, long minimumSeconds, long minimumSamples) {}
