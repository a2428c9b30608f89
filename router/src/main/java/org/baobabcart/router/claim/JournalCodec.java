package org.baobabcart.router.claim;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.baobabcart.policy.claim.Claim;
import org.baobabcart.policy.claim.ClaimJournal;
import org.baobabcart.policy.claim.ClaimKey;
import org.baobabcart.policy.claim.JournaledAnswer;

/** Converts a claim journal to and from the specification of a platform object. Thread-safe. */
final class JournalCodec {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private JournalCodec() {}

    static JsonNode write(ClaimJournal journal) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("writeId", journal.writeId());
        node.put("clockMillis", journal.clockMillis());
        ArrayNode claims = node.putArray("claims");
        journal.claims().values().forEach(claim -> claims.add(writeClaim(claim)));
        return node;
    }

    static ClaimJournal read(JsonNode node) {
        Map<String, Claim> claims = new LinkedHashMap<>();
        node.path("claims").forEach(entry -> {
            Claim claim = readClaim(entry);
            claims.put(claim.key().digest(), claim);
        });
        return new ClaimJournal(
                node.path("writeId").asText(), node.path("clockMillis").asLong(), claims);
    }

    private static JsonNode writeClaim(Claim claim) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("key", claim.key().digest());
        node.put("callDigest", claim.callDigest());
        node.put("attemptId", claim.attemptId());
        node.put("claimant", claim.claimant());
        node.put("state", claim.state().name());
        node.put("changedAtMillis", claim.changedAtMillis());
        node.put("retentionMillis", claim.retentionMillis());
        claim.answer().ifPresent(answer -> node.set("answer", MAPPER.valueToTree(answer)));
        return node;
    }

    private static Claim readClaim(JsonNode node) {
        return new Claim(
                new ClaimKey(node.path("key").asText()),
                node.path("callDigest").asText(),
                node.path("attemptId").asText(),
                node.path("claimant").asText(),
                Claim.State.valueOf(node.path("state").asText()),
                Optional.ofNullable(node.get("answer"))
                        .map(answer -> MAPPER.convertValue(answer, JournaledAnswer.class)),
                node.path("changedAtMillis").asLong(),
                node.path("retentionMillis").asLong());
    }
}
