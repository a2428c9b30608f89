package org.baobabcart.policy.placement;

/**
 * An order to an engine to load a version in place of the one that it serves. Immutable.
 *
 * @param id the same at each repetition, so that the engine obeys it once
 * @param engine the engine's name
 * @param target what it is to serve
 */
public record LoadOrder(String id, String engine, ModelVersion target) {}
