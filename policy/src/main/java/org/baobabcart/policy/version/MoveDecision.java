package org.baobabcart.policy.version;

import org.baobabcart.model.gateway.VersionOrder;

/**
 * The result of reviewing a version move. Immutable.
 *
 * @param order the order to store in the platform
 * @param reason the evidence for the decision, as text for operators
 */
public record MoveDecision(VersionOrder order, String reason) {}
