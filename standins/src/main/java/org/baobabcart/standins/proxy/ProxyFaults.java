package org.baobabcart.standins.proxy;

import io.vertx.core.json.JsonObject;
import org.baobabcart.standins.base.FaultValues;

/**
 * Faults that a proxy injects into its connections. Immutable.
 *
 * @param cut whether connections are closed immediately
 * @param reset whether connections ended by a fault are reset instead of closed
 * @param holdRequests whether data to the target is held back until the fault ends
 * @param holdResponses whether data from the target is held back until the fault ends
 * @param dropResponses whether data from the target is discarded
 * @param duplicateResponses whether each chunk of data from the target is forwarded twice
 * @param delayMillis the delay of each chunk of data, in milliseconds
 * @param cutAfterBytes the number of bytes from the target after which a connection is closed; zero for no limit
 */
record ProxyFaults(
        boolean cut,
        boolean reset,
        boolean holdRequests,
        boolean holdResponses,
        boolean dropResponses,
        boolean duplicateResponses,
        long delayMillis,
        long cutAfterBytes) {
    private static final String BLACK_HOLE = "black-hole";

    /** Returns no faults. */
    static ProxyFaults none() {
        return new ProxyFaults(false, false, false, false, false, false, 0, 0);
    }

    /** Returns faults that hold back data to the target, from the target, or both. */
    static ProxyFaults holding(boolean requests, boolean responses) {
        return new ProxyFaults(false, false, requests, responses, false, false, 0, 0);
    }

    /** Returns faults that reset every connection. */
    static ProxyFaults resetting() {
        return new ProxyFaults(true, true, false, false, false, false, 0, 0);
    }

    /**
     * Returns these faults with the changes of a JSON object. The fault {@code black-hole} holds back both directions.
     */
    ProxyFaults with(JsonObject changes) {
        return new ProxyFaults(
                changes.getBoolean("cut", cut),
                changes.getBoolean("reset", reset),
                changes.getBoolean("hold-requests", changes.getBoolean(BLACK_HOLE, holdRequests)),
                changes.getBoolean("hold-answers", changes.getBoolean(BLACK_HOLE, holdResponses)),
                changes.getBoolean("drop-answers", dropResponses),
                changes.getBoolean("duplicate-answers", duplicateResponses),
                FaultValues.wholeNumber(changes, "delay", delayMillis),
                FaultValues.wholeNumber(changes, "cut-after-bytes", cutAfterBytes));
    }
}
