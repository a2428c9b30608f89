package org.baobabcart.router.rollout;

import java.util.Optional;
import org.baobabcart.model.rollout.RollOutState;

/**
 * Computes a change from the roll-out state that was just read. A change must be idempotent: once it has taken effect
 * it computes no new state, so that repeating a write whose answer was lost has no effect.
 */
@FunctionalInterface
interface RollOutChange {
    /** Returns the new state, or empty if there is nothing to change. */
    Optional<RollOutState> apply(RollOutState current, String writeId);
}
