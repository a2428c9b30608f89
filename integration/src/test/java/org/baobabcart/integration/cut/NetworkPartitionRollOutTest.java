package org.baobabcart.integration.cut;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.baobabcart.integration.support.Await;
import org.baobabcart.integration.support.CallerResponse;
import org.baobabcart.integration.support.ClosedLoopLoad;
import org.baobabcart.launcher.FleetNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that one router controls a roll-out while data centres that reach the platform are partitioned from each
 * other.
 */
class NetworkPartitionRollOutTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String HISTORY = "/apis/baobabcart/v1/rollouts?watch=true&resourceVersion=0&timeoutSeconds=1";
    private static final int CALLERS = 4;
    private static final int TOKENS = 2;
    private static final int STAGES = 3;
    private static final int STAGE_SECONDS = 12;
    /** Several times longer than the suspicion timeout of members and the delay of a take-over. */
    private static final Duration PARTITION = Duration.ofSeconds(30);

    private NetworkPartitionFleet fleet;

    @BeforeEach
    void start() {
        fleet = NetworkPartitionFleet.start("cut-roll-out");
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"CONTINUE", "REST"})
    void controllerKeepsARollOutDuringAPartitionAndStagesNeverDecrease(String whenControllerLost) throws Exception {
        fleet.localFleet().publish(sheetWithRollOut(whenControllerLost));
        try (ClosedLoopLoad load = ClosedLoopLoad.start(CALLERS, this::ask)) {
            Await.until("the roll-out runs", () -> status().equals("RUNNING"));
            load.awaitMore(CALLERS);
            fleet.network().cut(NetworkPartitionFleet.NEAR, NetworkPartitionFleet.FAR);
            Await.elapsed(PARTITION);
            fleet.network().heal();
            fleet.awaitConnected();
            Await.until("the roll-out is done", () -> status().equals("DONE"));
        }
        List<JsonNode> history = history();
        List<Long> generations =
                history.stream().map(state -> state.path("generation").asLong()).toList();
        assertThat(
                generations,
                equalTo(LongStream.rangeClosed(generations.get(0), generations.get(0) + generations.size() - 1)
                        .boxed()
                        .toList()));
        List<Integer> stages =
                progress(history).map(entry -> entry.path("stage").asInt()).toList();
        assertThat(stages, equalTo(stages.stream().sorted().toList()));
        List<String> controllers = progress(history)
                .map(entry -> entry.path("controller").asText())
                .filter(controller -> !controller.isEmpty())
                .toList();
        assertThat(describe(history), changes(controllers), lessThanOrEqualTo(1L));
    }

    private CallerResponse ask(int number) {
        FleetNode router = fleet.routers().get(number % fleet.routers().size());
        return fleet.caller()
                .chat(router, NetworkPartitionFleet.MODEL, "pane " + number, TOKENS)
                .join();
    }

    private String status() {
        return fleet.stored("rollouts", "current")
                .path("progress")
                .path(0)
                .path("status")
                .asText();
    }

    private JsonNode sheetWithRollOut(String whenControllerLost) {
        ObjectNode sheet = fleet.sheet(1, 0);
        ObjectNode rollOut = sheet.putArray("rollOuts").addObject();
        rollOut.put("model", NetworkPartitionFleet.MODEL).put("from", "v1").put("to", "v2");
        rollOut.put("whenControllerLost", whenControllerLost);
        ArrayNode stages = rollOut.putArray("stages");
        for (int stage = 1; stage <= STAGES; stage++) {
            stages.addObject()
                    .put("share", 0.2 * stage)
                    .put("minimumSeconds", STAGE_SECONDS)
                    .put("minimumSamples", 10);
        }
        return sheet;
    }

    /** Returns every state that the platform stored, oldest first. */
    private List<JsonNode> history() throws IOException, InterruptedException {
        URI uri = URI.create(fleet.localFleet().platform().url("http") + HISTORY);
        Stream<String> lines = HttpClient.newHttpClient()
                .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofLines())
                .body();
        List<JsonNode> states = new ArrayList<>();
        for (String line : lines.toList()) {
            JsonNode event = MAPPER.readTree(line);
            if (!event.path("type").asText().equals("BOOKMARK")) {
                states.add(event.path("object").path("spec"));
            }
        }
        return states;
    }

    private static Stream<JsonNode> progress(List<JsonNode> history) {
        return history.stream().map(state -> state.path("progress").path(0)).filter(entry -> !entry.isMissingNode());
    }

    private static long changes(List<String> values) {
        return Stream.iterate(1, index -> index < values.size(), index -> index + 1)
                .filter(index -> !values.get(index).equals(values.get(index - 1)))
                .count();
    }

    private static String describe(List<JsonNode> history) {
        return progress(history).map(JsonNode::toString).collect(Collectors.joining(System.lineSeparator()));
    }
}
