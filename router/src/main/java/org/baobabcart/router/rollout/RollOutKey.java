package org.baobabcart.router.rollout;

import org.baobabcart.model.request.KeyHash;
import org.baobabcart.model.rollout.RollOutProgress;

/**
 * One beginning of a stage of a roll-out. Immutable.
 *
 * @param model the model's name
 * @param to the new version
 * @param epoch the number of the beginning
 */
record RollOutKey(String model, String to, long epoch) {
    private static final int HEX_DIGITS_OF_LONG = 16;
    private static final int HEX = 16;

    static RollOutKey of(RollOutProgress progress) {
        return new RollOutKey(progress.model(), progress.to(), progress.epoch());
    }

    /** A number that evidence of this beginning is exchanged under; the same on all routers. */
    long stageEpoch() {
        String digest = KeyHash.of(model + "@" + to + "#" + epoch);
        return Long.parseUnsignedLong(digest.substring(0, HEX_DIGITS_OF_LONG), HEX);
    }
}
