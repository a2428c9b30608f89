package org.baobabcart.router.rollout;

import java.util.Optional;
import org.baobabcart.model.rollout.RollOutState;

/**
 * A change of the roll-outs' state, computed from the state just read. It must be safe to repeat: once it has taken
 * effect it is empty, so that a write whose answer was lost does no harm.
 */
@FunctionalInterface
interface RollOutChange {
    /** The next state, or empty where there is nothing to change. */
    Optional<RollOutState> from(RollOutState current, String writeId);
}
