package org.baobabcart.router.traffic;

import io.vertx.core.buffer.Buffer;
import java.util.List;

/**
 * A whole answer of one version, held here or passed on already. Immutable by contract.
 *
 * @param version the version that answered
 * @param status the HTTP status
 * @param contentType the type of the body
 * @param parts the body, or the events without the closing one; empty where they were passed on
 * @param text the text, as far as it was kept
 * @param units the tokens to bill
 * @param latencyLoss what it loses by its time
 */
record ModelAnswer(
        SelectedVersion version,
        int status,
        String contentType,
        List<Buffer> parts,
        String text,
        long units,
        double latencyLoss) {}
