package org.baobabcart.model.sheet;

/**
 * A version of a model. Immutable.
 *
 * @param name the version's name, unique within the model
 * @param costPerThousandTokens cost in the operators' currency
 * @param quality the rated quality expected of it, from 0 to 1
 * @param share the share of new work that names no version, from 0 to 1; the shares of a model add up to 1
 */
public record Version(String name, double costPerThousandTokens, double quality, double share) {}
