package org.baobabcart.standins.proxy;

import io.vertx.core.json.JsonObject;
import org.baobabcart.standins.base.FaultValues;

/**
 * Faults that a proxy injects into all its connections. Immutable.
 *
 * @param cut whether connections are closed at once
 * @param blackHole whether bytes are held back in both directions until the fault ends
 * @param dropAnswers whether bytes from the target are thrown away
 * @param delayMillis how long each piece of data is held back, in milliseconds
 * @param cutAfterBytes after how many bytes from the target a connection is closed; zero for never
 */
record ProxyFaults(boolean cut, boolean blackHole, boolean dropAnswers, long delayMillis, long cutAfterBytes) {
    /** No fault. */
    static ProxyFaults none() {
        return new ProxyFaults(false, false, false, 0, 0);
    }

    /** These faults with the ones that a JSON object names changed. */
    ProxyFaults with(JsonObject changes) {
        return new ProxyFaults(
                changes.getBoolean("cut", cut),
                changes.getBoolean("black-hole", blackHole),
                changes.getBoolean("drop-answers", dropAnswers),
                FaultValues.whole(changes, "delay", delayMillis),
                FaultValues.whole(changes, "cut-after-bytes", cutAfterBytes));
    }
}
