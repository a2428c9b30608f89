package org.baobabcart.router.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import org.baobabcart.model.request.PromptPart;
import org.junit.jupiter.api.Test;

class SessionHashTest {
    @Test
    void hashDependsOnTheLastPromptPartOnlyWithoutASessionName() {
        assertThat(hash(Optional.empty(), "shared", "own"), is(hash(Optional.empty(), "other", "own")));
        assertThat(hash(Optional.empty(), "shared", "own"), not(hash(Optional.empty(), "shared", "another")));
    }

    @Test
    void sessionNameTakesPrecedenceOverThePrompt() {
        assertThat(hash(Optional.of("s"), "a"), is(hash(Optional.of("s"), "b")));
    }

    private static double hash(Optional<String> session, String... parts) {
        List<PromptPart> prefix =
                List.of(parts).stream().map(part -> new PromptPart(part, 100)).toList();
        return SessionHash.of(new RequestHead(
                "id",
                HttpMethod.POST,
                "a.example",
                "/a",
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                RequestHead.Tokens.none(),
                prefix,
                session,
                Optional.empty(),
                MultiMap.caseInsensitiveMultiMap()));
    }
}
