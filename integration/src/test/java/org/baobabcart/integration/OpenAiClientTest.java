package org.baobabcart.integration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.StreamResponse;
import com.openai.errors.NotFoundException;
import com.openai.errors.UnauthorizedException;
import com.openai.models.chat.completions.ChatCompletion;
import com.openai.models.chat.completions.ChatCompletionChunk;
import com.openai.models.chat.completions.ChatCompletionCreateParams;
import com.openai.models.completions.Completion;
import com.openai.models.completions.CompletionCreateParams;
import com.openai.models.models.Model;
import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import org.baobabcart.integration.support.Await;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.launcher.FleetSettings;
import org.baobabcart.launcher.LocalFleet;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Runs the published OpenAI Java client against a router process with stand-in engines. */
class OpenAiClientTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static LocalFleet fleet;
    private static OpenAIClient client;

    @BeforeAll
    static void startFleet() {
        fleet = LocalFleet.start(FleetSettings.defaults()
                .withName("openai-client")
                .withDataCentres("one")
                .withRoutersPerDataCentre(1));
        fleet.publish(fleet.defaultSheet().toJson());
        FleetNode router = fleet.routers().get(0);
        Await.until(
                "the router is ready",
                () -> fleet.calls().get(router.admin() + "/readyz").status() == 200);
        client = clientWith(fleet.defaultSheet().workspaces().get(0).key());
    }

    @AfterAll
    static void stopFleet() {
        if (client != null) {
            client.close();
        }
        if (fleet != null) {
            fleet.close();
        }
    }

    @Test
    void listsModels() {
        List<String> names =
                client.models().list().data().stream().map(Model::id).toList();
        assertThat(names, hasItems("layout-large", "layout-small", "layout"));
    }

    @Test
    void completesChats() {
        ChatCompletion completion = client.chat().completions().create(chatRequest("layout-large", 5));
        String text = completion.choices().get(0).message().content().orElse("");
        assertThat(text, containsString("layout-large@"));
        assertThat(text, endsWith("t5 end"));
        assertThat(completion.usage().orElseThrow().completionTokens(), greaterThan(0L));
    }

    @Test
    void streamsChats() {
        try (StreamResponse<ChatCompletionChunk> chunks =
                client.chat().completions().createStreaming(chatRequest("layout-small", 8))) {
            String text = chunks.stream()
                    .flatMap(chunk -> chunk.choices().stream())
                    .flatMap(choice -> choice.delta().content().stream())
                    .collect(Collectors.joining());
            assertThat(text, containsString("layout-small@"));
            assertThat(text, endsWith("t8 end"));
        }
    }

    @Test
    void completesPrompts() {
        Completion completion = client.completions()
                .create(CompletionCreateParams.builder()
                        .model("layout-small")
                        .prompt("cut a pane")
                        .maxTokens(3)
                        .build());
        assertThat(completion.choices().get(0).text(), endsWith("t3 end"));
    }

    @Test
    void mapsErrorsToExceptionsOfTheClient() {
        OpenAIClient unknownClient = clientWith("unknown");
        UnauthorizedException unauthorized = assertThrows(
                UnauthorizedException.class,
                () -> unknownClient.chat().completions().create(chatRequest("layout-small", 1)));
        unknownClient.close();
        assertThat(unauthorized.statusCode(), is(401));
        assertThrows(
                NotFoundException.class, () -> client.chat().completions().create(chatRequest("no-such-model", 1)));
    }

    private static ChatCompletionCreateParams chatRequest(String model, long tokens) {
        return ChatCompletionCreateParams.builder()
                .model(model)
                .maxCompletionTokens(tokens)
                .addUserMessage("cut a pane of 40 by 60")
                .build();
    }

    private static OpenAIClient clientWith(String key) {
        return OpenAIOkHttpClient.builder()
                .baseUrl(fleet.routers().get(0).caller() + "/v1")
                .apiKey(key)
                .timeout(TIMEOUT)
                .build();
    }
}
