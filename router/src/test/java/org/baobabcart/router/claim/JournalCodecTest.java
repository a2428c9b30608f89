package org.baobabcart.router.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;
import org.baobabcart.model.request.KeyHash;
import org.baobabcart.policy.claim.Claim;
import org.baobabcart.policy.claim.ClaimJournal;
import org.baobabcart.policy.claim.ClaimKey;
import org.baobabcart.policy.claim.JournaledAnswer;

class JournalCodecTest {
    private static final int ENVELOPE_BYTES = 200;

    @Property(tries = 200, seed = "4103")
    void roundTripPreservesJournalWithinEstimatedSize(
            @ForAll @IntRange(max = 50) int claims,
            @ForAll @StringLength(max = 300) String header,
            @ForAll @IntRange(max = 6000) int bodyBytes) {
        Map<String, Claim> byKey = new HashMap<>();
        for (int index = 0; index < claims; index++) {
            Claim claim = claim("key-" + index, index % 3, header, bodyBytes);
            byKey.put(claim.key().digest(), claim);
        }
        ClaimJournal journal = new ClaimJournal(KeyHash.of("write"), Long.MAX_VALUE / 2, byKey);
        byte[] bytes = JournalCodec.write(journal).toString().getBytes(StandardCharsets.UTF_8);
        assertThat(bytes.length, lessThanOrEqualTo(journal.characters() + ENVELOPE_BYTES));
        assertThat(JournalCodec.read(JournalCodec.write(journal)), equalTo(journal));
    }

    private static Claim claim(String key, int kind, String header, int bodyBytes) {
        Claim open = new Claim(
                ClaimKey.of("workspace", "orders", key),
                KeyHash.of(key),
                KeyHash.of("attempt").substring(0, 32),
                "router-nairobi-17",
                Claim.State.OPEN,
                Optional.empty(),
                Long.MAX_VALUE / 4,
                Long.MAX_VALUE / 4);
        if (kind == 0) {
            return open;
        }
        String body = Base64.getEncoder().encodeToString(new byte[bodyBytes]);
        JournaledAnswer answer = JournaledAnswer.of(201, Map.of("X-Note", header), body);
        return kind == 1 ? open.unknown(Long.MAX_VALUE / 4) : open.finished(answer, Long.MAX_VALUE / 4);
    }
}
