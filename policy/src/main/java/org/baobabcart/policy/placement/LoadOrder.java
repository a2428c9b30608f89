package org.baobabcart.policy.placement;

/**
 * An order for an engine to replace the version that it serves by another one. Immutable.
 *
 * @param id the order's id, the same for each repetition, so that the engine executes the order once
 * @param engine the engine's name
 * @param target the version to load
 */
public record LoadOrder(String id, String engine, ModelVersion target) {}
