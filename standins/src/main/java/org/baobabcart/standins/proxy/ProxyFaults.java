package org.baobabcart.standins.proxy;

import io.vertx.core.json.JsonObject;
import org.baobabcart.standins.base.FaultValues;

/**
 * Faults that a proxy injects into its connections. Immutable.
 *
 * @param cut whether connections are closed at once
 * @param reset whether connections that a fault ends are reset in place of closed
 * @param holdRequests whether bytes towards the target are held back until the fault ends
 * @param holdAnswers whether bytes from the target are held back until the fault ends
 * @param dropAnswers whether bytes from the target are thrown away
 * @param duplicateAnswers whether each piece of data from the target is passed on twice
 * @param delayMillis how long each piece of data is held back, in milliseconds
 * @param cutAfterBytes after how many bytes from the target a connection is closed; zero for never
 */
record ProxyFaults(
        boolean cut,
        boolean reset,
        boolean holdRequests,
        boolean holdAnswers,
        boolean dropAnswers,
        boolean duplicateAnswers,
        long delayMillis,
        long cutAfterBytes) {
    private static final String BLACK_HOLE = "black-hole";

    /** No fault. */
    static ProxyFaults none() {
        return new ProxyFaults(false, false, false, false, false, false, 0, 0);
    }

    /** Holds bytes back by their direction. */
    static ProxyFaults holding(boolean requests, boolean answers) {
        return new ProxyFaults(false, false, requests, answers, false, false, 0, 0);
    }

    /** Resets every connection. */
    static ProxyFaults resetting() {
        return new ProxyFaults(true, true, false, false, false, false, 0, 0);
    }

    /** These faults with the ones that a JSON object names changed; a black hole holds both directions. */
    ProxyFaults with(JsonObject changes) {
        return new ProxyFaults(
                changes.getBoolean("cut", cut),
                changes.getBoolean("reset", reset),
                changes.getBoolean("hold-requests", changes.getBoolean(BLACK_HOLE, holdRequests)),
                changes.getBoolean("hold-answers", changes.getBoolean(BLACK_HOLE, holdAnswers)),
                changes.getBoolean("drop-answers", dropAnswers),
                changes.getBoolean("duplicate-answers", duplicateAnswers),
                FaultValues.whole(changes, "delay", delayMillis),
                FaultValues.whole(changes, "cut-after-bytes", cutAfterBytes));
    }
}
