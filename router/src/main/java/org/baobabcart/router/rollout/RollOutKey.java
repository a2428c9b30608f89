package org.baobabcart.router.rollout;

import org.baobabcart.model.request.KeyHash;
import org.baobabcart.model.rollout.RollOutProgress;

/**
 * Identifies one start of a stage of a roll-out. Immutable.
 *
 * @param model the model's name
 * @param to the new version
 * @param epoch the number of the start
 */
record RollOutKey(String model, String to, long epoch) {
    private static final int HEX_DIGITS_OF_LONG = 16;
    private static final int HEXADECIMAL = 16;

    static RollOutKey of(RollOutProgress progress) {
        return new RollOutKey(progress.model(), progress.to(), progress.epoch());
    }

    /** Returns the number under which evidence of this stage is exchanged; it is the same on all routers. */
    long stageEpoch() {
        String digest = KeyHash.of(model + "@" + to + "#" + epoch);
        return Long.parseUnsignedLong(digest.substring(0, HEX_DIGITS_OF_LONG), HEXADECIMAL);
    }
}
