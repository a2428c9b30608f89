package org.baobabcart.model.request;

/**
 * A part of a prompt that other prompts may share. Immutable.
 *
 * @param id the same for equal parts
 * @param tokens its length
 */
public record PromptPart(String id, int tokens) {}
