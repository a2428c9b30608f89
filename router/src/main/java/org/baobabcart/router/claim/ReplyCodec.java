package org.baobabcart.router.claim;

import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;
import org.baobabcart.policy.claim.JournaledAnswer;
import org.baobabcart.wire.StoredAnswer;

/** Converts stored replies between their journal, wire and in-memory representations. Thread-safe. */
final class ReplyCodec {
    /** Response header of a replay whose body was too large to store. */
    static final String BODY_OMITTED = "Baobabcart-Body-Omitted";

    private ReplyCodec() {}

    static JournaledAnswer toJournaled(StoredReply reply) {
        return JournaledAnswer.of(
                reply.status(), reply.headers(), Base64.getEncoder().encodeToString(reply.body()));
    }

    static JournaledAnswer toJournaled(StoredAnswer answer) {
        return toJournaled(toReply(answer));
    }

    static StoredReply toReply(JournaledAnswer answer) {
        Map<String, String> headers = new TreeMap<>(answer.headers());
        if (answer.bodyOmitted()) {
            headers.put(BODY_OMITTED, "true");
        }
        return new StoredReply(answer.status(), headers, Base64.getDecoder().decode(answer.body()));
    }

    static StoredReply toReply(StoredAnswer answer) {
        return new StoredReply(answer.getStatus(), answer.getHeaders(), answer.getBody());
    }

    static StoredAnswer toWire(StoredReply reply) {
        return new StoredAnswer(reply.status(), reply.headers(), ByteBuffer.wrap(reply.body()));
    }
}
