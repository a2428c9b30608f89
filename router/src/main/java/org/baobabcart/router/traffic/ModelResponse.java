package org.baobabcart.router.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.List;

/**
 * A complete response of one model version, either buffered or already delivered. Immutable by contract.
 *
 * @param version the version that responded
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param chunks the body, or the events without the closing event; empty if they were already delivered
 * @param text the text of the response
 * @param units the tokens to bill
 * @param latencyLoss the loss of value caused by the latency
 */
record ModelResponse(
        SelectedVersion version,
        int status,
        String contentType,
        List<Buffer> chunks,
        String text,
        long units,
        double latencyLoss) {}
