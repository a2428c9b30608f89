package org.baobabcart.integration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import org.baobabcart.launcher.EngineSettings;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.launcher.FleetSettings;
import org.baobabcart.launcher.LocalFleet;
import org.junit.jupiter.api.Test;

/** A real router gives up a cheap model whose answers never reach the target, and keeps the target throughout. */
class CascadeProcessTest {
    private static final int REQUESTS = 100;
    private static final int GREATEST_LATE_TRIES = 15;
    private static final Duration BOUND = Duration.ofSeconds(60);

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @Test
    void aCheapModelThatNeverSufficesIsGivenUp() throws Exception {
        List<EngineSettings> engines = List.of(
                EngineSettings.large("v1").withCapacity(8, 1),
                EngineSettings.small("v1").withCapacity(8, 1));
        try (LocalFleet fleet = LocalFleet.start(FleetSettings.defaults()
                .withName("cascade")
                .withDataCentres("a")
                .withEngines(2, engines))) {
            fleet.publish(fleet.defaultSheet().toJson());
            awaitServing(fleet);
            int before = smallRuns(fleet);
            askAll(fleet);
            int early = smallRuns(fleet) - before;
            askAll(fleet);
            int late = smallRuns(fleet) - before - early;
            System.out.printf(
                    "cascade of processes: cheap tries %d then %d of %d requests each%n", early, late, REQUESTS);
            assertThat(early, greaterThan(0));
            assertThat(late, lessThanOrEqualTo(GREATEST_LATE_TRIES));
        }
    }

    private void askAll(LocalFleet fleet) throws Exception {
        for (int request = 0; request < REQUESTS; request++) {
            HttpResponse<String> response = ask(fleet);
            assertThat(response.body(), response.statusCode(), equalTo(200));
            assertThat(response.body(), containsString("quality=0.95"));
        }
    }

    private void awaitServing(LocalFleet fleet) throws Exception {
        long bound = System.nanoTime() + BOUND.toNanos();
        while (ask(fleet).statusCode() != 200) {
            if (System.nanoTime() > bound) {
                throw new AssertionError("the router does not serve");
            }
        }
    }

    private HttpResponse<String> ask(LocalFleet fleet) throws Exception {
        String body = "{\"model\":\"layout\",\"max_tokens\":2,\"messages\":[{\"role\":\"user\",\"content\":\"pane\"}]}";
        FleetNode router = fleet.routers().get(0);
        HttpRequest request = HttpRequest.newBuilder(URI.create(router.caller() + "/v1/chat/completions"))
                .header(
                        "Authorization",
                        "Bearer " + fleet.defaultSheet().workspaces().get(0).key())
                .timeout(BOUND)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static int smallRuns(LocalFleet fleet) {
        return fleet.runs(fleet.engines().get(1)).size();
    }
}
