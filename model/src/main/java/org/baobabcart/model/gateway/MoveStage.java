package org.baobabcart.model.gateway;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * The stage of a service's move to another version. A move passes the stages in the order of the constants and never
 * returns to an earlier one.
 */
public enum MoveStage {
    /** No requests are sent to the target, so that sessions keep their version. */
    HELD,
    /** A small fraction of the requests is sent to the target. */
    TRIAL,
    /** The requests are divided between both versions. */
    SHARED,
    /** All new requests are sent to the target. */
    ALL;

    /** Returns the stage's name in the platform's store. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the stage with this name, or empty for an unknown name. */
    public static Optional<MoveStage> of(String text) {
        return Arrays.stream(values())
                .filter(stage -> stage.text().equals(text))
                .findFirst();
    }

    /** Returns the later of two stages. */
    public MoveStage latest(MoveStage other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
