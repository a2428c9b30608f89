package org.baobabcart.model.sheet;

/**
 * A version of a model. Immutable.
 *
 * @param name the version's name, unique within the model
 * @param costPerThousandTokens cost of a thousand tokens, in the operators' currency
 * @param quality the expected rating of its answers, from 0 to 1
 * @param share the fraction, from 0 to 1, of new work without an explicit version; the shares of a model add up to 1
 */
public record Version(String name, double costPerThousandTokens, double quality, double share) {}
