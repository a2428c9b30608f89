package org.baobabcart.policy.session;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;

class SessionSignerTest {
    private static final SessionKey FIRST = key("k1");
    private static final SessionKey SECOND = key("k2");

    @Property(tries = 500, seed = "7201")
    void verifiesSignedTokens(
            @ForAll @AlphaChars @StringLength(min = 1, max = 20) String workspace,
            @ForAll @Size(max = 4) List<@AlphaChars @StringLength(min = 1, max = 10) String> models) {
        SessionToken token = SessionToken.create(workspace);
        for (String model : models) {
            token = token.withVersion(model, "v-" + model);
        }
        SessionSigner signer = SessionSigner.of(List.of(FIRST));
        assertThat(signer.verify(signer.sign(token).orElseThrow()), equalTo(Optional.of(token)));
    }

    @Property(tries = 500, seed = "7202")
    void rejectsATokenWithAnyChangedCharacter(
            @ForAll @IntRange(max = 200) int position, @ForAll @IntRange(min = 1, max = 90) int shift) {
        SessionSigner signer = SessionSigner.of(List.of(FIRST, SECOND));
        String text =
                signer.sign(SessionToken.create("w").withVersion("m", "v1")).orElseThrow();
        int index = position % text.length();
        char changed = (char) ('!' + (text.charAt(index) - '!' + shift) % 94);
        String forged = text.substring(0, index) + changed + text.substring(index + 1);
        if (!forged.equals(text)) {
            assertThat(signer.verify(forged), equalTo(Optional.empty()));
        }
    }

    @Example
    void previousKeysVerifyAfterRotationAndUnknownKeysDoNot() {
        SessionToken token = SessionToken.create("w").withVersion("m", "v1");
        String signedWithPrevious = SessionSigner.of(List.of(FIRST)).sign(token).orElseThrow();
        assertThat(SessionSigner.of(List.of(SECOND, FIRST)).verify(signedWithPrevious), equalTo(Optional.of(token)));
        assertThat(SessionSigner.of(List.of(SECOND)).verify(signedWithPrevious), equalTo(Optional.empty()));
        SessionKey sameId = new SessionKey("k1", "another secret".getBytes(StandardCharsets.UTF_8));
        assertThat(SessionSigner.of(List.of(sameId)).verify(signedWithPrevious), equalTo(Optional.empty()));
    }

    private static SessionKey key(String id) {
        return new SessionKey(id, ("secret of " + id).getBytes(StandardCharsets.UTF_8));
    }
}
