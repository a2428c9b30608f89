package org.baobabcart.policy.version;

import org.baobabcart.model.gateway.VersionOrder;

/**
 * What a review of a move has come to. Immutable.
 *
 * @param order the order as it should stand in the platform's store
 * @param reason the evidence that it rests on
 */
public record MoveDecision(VersionOrder order, String reason) {}
