package org.baobabcart.policy.placement;

/**
 * An engine as reported by the VM list. Immutable.
 *
 * @param name the engine's name
 * @param serves the version that it serves
 */
public record EngineListing(String name, ModelVersion serves) {}
