package org.baobabcart.model.sheet;

/**
 * A withdrawn version, which must not receive new work. Immutable.
 *
 * @param model the model's name
 * @param version the version's name
 */
public record Withdrawal(String model, String version) {}
