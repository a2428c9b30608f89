package org.baobabcart.model.sheet;

/**
 * A version that must receive no new work. Immutable.
 *
 * @param model the model's name
 * @param version the version's name
 */
public record Withdrawal(String model, String version) {}
