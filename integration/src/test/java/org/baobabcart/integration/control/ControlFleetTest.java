package org.baobabcart.integration.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.baobabcart.integration.support.Await;
import org.baobabcart.integration.support.LoadBalancer;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.launcher.FleetSettings;
import org.baobabcart.launcher.LocalFleet;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.router.control.ControlLoop;
import org.baobabcart.router.control.SystemTimerService;
import org.baobabcart.router.document.PublishResult;
import org.baobabcart.router.document.PublishSettings;
import org.baobabcart.router.platform.HttpObjectStore;
import org.baobabcart.router.platform.ObjectStore;
import org.baobabcart.router.platform.PlatformSettings;
import org.baobabcart.router.sheet.PublishRequest;
import org.baobabcart.router.sheet.SheetPublisher;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.TestMethodOrder;

/**
 * Checks the control plane of router processes: sheets, a platform outage, concurrent operators and planned stops.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class ControlFleetTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final Duration POLL = Duration.ofMillis(20);
    private static final int OPERATORS = 6;
    private static final int STREAMS = 12;
    private static final int TOKENS = 200;
    private static final int CALLERS = 6;
    private static final int CALLS = 60;

    private final HttpClient http = HttpClient.newHttpClient();
    private final Vertx vertx = Vertx.vertx();
    private final ControlLoop loop = ControlLoop.create("operators");
    private LocalFleet fleet;

    @BeforeAll
    void startFleet() {
        fleet = LocalFleet.start(FleetSettings.defaults().withName("control").withRoutersPerDataCentre(2));
    }

    @AfterAll
    void closeFleet() {
        if (fleet != null) {
            fleet.close();
        }
        loop.close();
        vertx.close();
    }

    @Test
    @Order(1)
    void publishedSheetIsAppliedByEveryRouter() {
        long generation = fleet.publish(fleet.defaultSheet().toJson());
        Await.until(
                "every router has applied the sheet", () -> generations().allMatch(applied -> applied == generation));
        Await.until(
                "every router is ready",
                () -> statuses().allMatch(status -> status.path("ready").asBoolean()));
    }

    @Test
    @Order(2)
    void oneOfConcurrentOperatorsWinsOnEveryRouter() {
        String platform = fleet.platform().url("http");
        ObjectStore store = HttpObjectStore.create(vertx, URI.create(platform), PlatformSettings.defaults());
        SheetPublisher publisher =
                SheetPublisher.create(store, SystemTimerService.on(loop), PublishSettings.defaults());
        List<CompletableFuture<PublishResult<PublishedSheet>>> publishing = new ArrayList<>();
        for (int operator = 0; operator < OPERATORS; operator++) {
            PublishRequest request = PublishRequest.of(renamed("race-" + operator), "operator-" + operator);
            publishing.add(publisher.publish(request).subscribeAsCompletionStage());
        }
        List<PublishResult<PublishedSheet>> results =
                publishing.stream().map(CompletableFuture::join).toList();
        List<PublishedSheet> accepted = results.stream()
                .filter(PublishResult::accepted)
                .map(PublishResult::document)
                .toList();
        assertThat(accepted.isEmpty(), is(false));
        assertThat(accepted.stream().map(PublishedSheet::generation).distinct().count(), is((long) accepted.size()));
        PublishedSheet winner = publisher.current().await().atMost(TIMEOUT).orElseThrow();
        assertThat(accepted.stream().anyMatch(sheet -> sheet.publishId().equals(winner.publishId())), is(true));
        Await.until(
                "every router has applied the winning sheet", () -> publishIds().allMatch(winner.publishId()::equals));
        fleet.routers().forEach(this::assertGenerationsOnlyGrow);
    }

    @Test
    @Order(3)
    void routerStartedDuringAPlatformOutageFetchesSheetAndKeysFromAPeer() {
        long generation = generations().findFirst().orElseThrow();
        fleet.fault(fleet.platform(), "{\"outage\":true}");
        FleetNode started = fleet.startRouter("router-a-late", "a");
        Await.until(
                "the started router is ready",
                () -> status(started).path("ready").asBoolean());
        JsonNode sheet = status(started).path("sheet");
        assertThat(sheet.path("generation").asLong(), is(generation));
        assertThat(sheet.path("source").asText(), is("PEER"));
        assertThat(sheet.path("ageMillis").asLong() >= 0, is(true));
        fleet.fault(fleet.platform(), "{\"outage\":false}");
        Await.until(
                "the started router reaches the platform",
                () -> status(started).path("platformReachable").asBoolean());
    }

    @Test
    @Order(4)
    void plannedStopCutsOffNoStream() {
        FleetNode stopping = fleet.routers().get(0);
        Await.until("the router is ready", () -> status(stopping).path("ready").asBoolean());
        List<CompletableFuture<HttpResponse<String>>> streams = new ArrayList<>();
        for (int stream = 0; stream < STREAMS; stream++) {
            streams.add(http.sendAsync(streamRequest(stopping), HttpResponse.BodyHandlers.ofString()));
        }
        Await.until("an engine has started a request", () -> startedRequests() > 0);
        stopping.process().requestStop();
        Await.until("the stopping router is not ready", () -> readiness(stopping) == 503);
        streams.add(http.sendAsync(streamRequest(stopping), HttpResponse.BodyHandlers.ofString()));
        List<HttpResponse<String>> responses =
                streams.stream().map(CompletableFuture::join).toList();
        assertThat(responses.stream().map(ControlFleetTest::statusAndBody).toList(), everyItem(startsWith("200 ")));
        assertThat(responses.stream().map(HttpResponse::body).toList(), everyItem(containsString("data: [DONE]")));
        assertThat(stopping.process().awaitExit(TIMEOUT), is(0));
        assertThat(log(stopping), containsString("event=stop_begun"));
        assertThat(log(stopping), containsString("event=stop_finished"));
        FleetNode other = fleet.routers().get(1);
        Await.until(
                "the other router sees the stopped one leave",
                () -> Stream.of("LEAVING", "DEAD").anyMatch(memberState(other, stopping.name())::equals));
    }

    @Test
    @Order(5)
    void plannedStopBehindALoadBalancerFailsNoRequest() {
        List<FleetNode> routers = fleet.routers().subList(2, 4);
        LoadBalancer balancer = LoadBalancer.create(fleet, routers);
        List<CompletableFuture<List<Integer>>> callers = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            callers.add(CompletableFuture.supplyAsync(() -> callRepeatedly(balancer)));
        }
        Await.until("each caller has sent requests", () -> balancer.selections() > CALLERS);
        routers.get(0).process().requestStop();
        assertThat(routers.get(0).process().awaitExit(TIMEOUT), is(0));
        List<Integer> statuses =
                callers.stream().flatMap(caller -> caller.join().stream()).toList();
        balancer.close();
        assertThat(statuses, everyItem(is(200)));
        assertThat(statuses.size(), is(CALLERS * CALLS));
    }

    private static String log(FleetNode router) {
        try {
            return Files.readString(router.process().logFile());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static String statusAndBody(HttpResponse<String> response) {
        return response.statusCode() + " " + response.body();
    }

    private List<Integer> callRepeatedly(LoadBalancer balancer) {
        List<Integer> statuses = new ArrayList<>();
        for (int call = 0; call < CALLS; call++) {
            HttpRequest request = request(balancer.nextRouter(), false, 1);
            statuses.add(http.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                    .handle((response, failure) -> failure == null ? response.statusCode() : -1)
                    .join());
        }
        return statuses;
    }

    private Sheet renamed(String name) {
        return fleet.defaultSheet().sheet().withName(name);
    }

    private HttpRequest streamRequest(FleetNode router) {
        return request(router, true, TOKENS);
    }

    private HttpRequest request(FleetNode router, boolean stream, int tokens) {
        String body = "{\"model\":\"layout-large\",\"stream\":" + stream + ",\"max_tokens\":" + tokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"cut\"}]}";
        return HttpRequest.newBuilder(URI.create(router.caller() + "/v1/chat/completions"))
                .header(
                        "Authorization",
                        "Bearer " + fleet.defaultSheet().workspaces().get(0).key())
                .header("Content-Type", "application/json")
                .timeout(TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private int startedRequests() {
        return fleet.engines().stream()
                .mapToInt(engine -> fleet.runs(engine).size())
                .sum();
    }

    private int readiness(FleetNode router) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(router.admin() + "/readyz")).build();
        return http.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                .join()
                .statusCode();
    }

    private void assertGenerationsOnlyGrow(FleetNode router) {
        JsonNode events = fleet.calls()
                .get(router.admin() + "/timeline?type=SHEET_APPLIED")
                .body()
                .path("events");
        long last = 0;
        for (JsonNode event : events) {
            String detail = event.path("detail").asText();
            long generation = Long.parseLong(detail.replaceAll(".*generation=(\\d+).*", "$1"));
            assertThat(generation > last, is(true));
            last = generation;
        }
    }

    private static String memberState(JsonNode status, String name) {
        for (JsonNode member : status.path("members")) {
            if (member.path("nodeId").asText().equals(name)) {
                return member.path("state").asText();
            }
        }
        return "";
    }

    private String memberState(FleetNode router, String name) {
        return memberState(status(router), name);
    }

    private Stream<Long> generations() {
        return statuses().map(status -> status.path("sheet").path("generation").asLong());
    }

    private Stream<String> publishIds() {
        return statuses().map(status -> status.path("sheet").path("publishId").asText());
    }

    private Stream<JsonNode> statuses() {
        return fleet.routers().stream().map(this::status);
    }

    private JsonNode status(FleetNode router) {
        return fleet.calls().get(router.admin() + "/status").body();
    }
}
