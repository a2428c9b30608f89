package org.baobabcart.model.request;

/**
 * A part of a prompt that may also occur in other prompts. Immutable.
 *
 * @param id an identifier that is the same for equal parts
 * @param tokens the length in tokens
 */
public record PromptPart(String id, int tokens) {}
