package org.baobabcart.policy.placement;

/**
 * An engine as the list of VMs shows it. Immutable.
 *
 * @param name the engine's name
 * @param serves what it serves
 */
public record EngineListing(String name, ModelVersion serves) {}
