package org.baobabcart.model.gateway;

/**
 * A model that a route may be answered by. Immutable.
 *
 * @param name the model's name
 * @param costPerThousandTokens the price of a thousand generated tokens, zero where none is known
 */
public record ModelSize(String name, double costPerThousandTokens) {}
