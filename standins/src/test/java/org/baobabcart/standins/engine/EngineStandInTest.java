package org.baobabcart.standins.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.baobabcart.model.request.Headers;
import org.baobabcart.standins.base.RunningStandIn;
import org.baobabcart.standins.base.StandInSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EngineStandInTest {
    private static final String CHAT = "/v1/chat/completions";

    private RunningStandIn engine;

    @BeforeEach
    void start() throws Exception {
        engine = RunningStandIn.start(EngineStandIn::create, RunningStandIn.settings());
    }

    @AfterEach
    void stop() {
        engine.close();
    }

    @Test
    void completionTextIsDeterminedByTheRequest() throws Exception {
        HttpResponse<String> response = engine.call("POST", CHAT, chat("hello", 3, false), Headers.REQUEST_ID, "r1");
        JsonObject body = new JsonObject(response.body());
        JsonObject message = body.getJsonArray("choices").getJsonObject(0).getJsonObject("message");
        assertThat(message.getString("content"), equalTo("layout-large@v1 quality=0.95 tokens: t1 t2 t3 end"));
        assertThat(body.getJsonObject("usage").getInteger("completion_tokens"), equalTo(3));
        assertThat(response.headers().firstValue(Headers.REQUEST_ID).orElseThrow(), equalTo("r1"));
        assertThat(runs().getJsonObject(0).getBoolean("finished"), is(true));
    }

    @Test
    void streamEndsWithDone() throws Exception {
        HttpResponse<String> response = engine.call("POST", CHAT, chat("hello", 2, true));
        assertThat(response.body(), containsString("\"content\":\" t2 end\""));
        assertThat(response.body(), endsWith("data: [DONE]\n\n"));
    }

    @Test
    void repeatedPromptHitsThePrefixCache() throws Exception {
        String prompt = "a long prompt about panes ".repeat(4);
        engine.call("POST", CHAT, chat(prompt, 1, false));
        HttpResponse<String> second = engine.call("POST", CHAT, chat(prompt + "and doors", 1, false));
        assertThat(second.headers().firstValue(EngineStandIn.PREFIX_HIT).orElseThrow(), equalTo("true"));
    }

    @Test
    void closedConnectionCancelsGeneration() throws Exception {
        Socket socket = RunningStandIn.connect(engine.port("http"));
        RunningStandIn.send(socket, request(chat("hello", 8000, true)));
        assertThat(socket.getInputStream().read(), equalTo((int) 'H'));
        socket.close();
        RunningStandIn.awaitTrue(() -> load().equals("0/0"));
        assertThat(runs().getJsonObject(0).getBoolean("finished"), is(false));
    }

    @Test
    void silencedConnectionGetsNoResponseWhileNewOnesWork() throws Exception {
        try (Socket silenced = RunningStandIn.connect(engine.port("http"))) {
            RunningStandIn.send(silenced, request(chat("hello", 1, false)));
            assertThat(silenced.getInputStream().read(), equalTo((int) 'H'));
            RunningStandIn.awaitTrue(() -> load().equals("0/0"));
            engine.fault("{\"silent-connections\":true}");
            silenced.getInputStream().skip(silenced.getInputStream().available());
            RunningStandIn.send(silenced, request(chat("hello", 1, false)));
            assertThat(engine.call("POST", CHAT, chat("hello", 1, false)).statusCode(), equalTo(200));
            assertThat(silenced.getInputStream().available(), equalTo(0));
        }
        assertThat(runs().size(), equalTo(2));
    }

    @Test
    void rejectionsBeforeTheStartCarryTheNotRunHeader() throws Exception {
        HttpResponse<String> otherVersion = engine.call("POST", CHAT, chat("hello", 1, false), Headers.VERSION, "v2");
        engine.fault("{\"leave\":true}");
        HttpResponse<String> leaving = engine.call("POST", CHAT, chat("hello", 1, false));
        assertThat(otherVersion.statusCode(), equalTo(409));
        assertThat(leaving.statusCode(), equalTo(503));
        assertThat(leaving.headers().firstValue("Baobabcart-Not-Run").orElseThrow(), equalTo("true"));
        assertThat(runs().isEmpty(), is(true));
    }

    @Test
    void faultsChangeResponses() throws Exception {
        engine.fault("{\"bad-quality\":true}");
        assertThat(engine.call("POST", CHAT, chat("hello", 1, false)).body(), containsString("quality=0.2"));
        engine.fault("{\"fail\":true}");
        assertThat(engine.call("POST", CHAT, chat("hello", 1, false)).statusCode(), equalTo(500));
        engine.fault("{\"fail\":false,\"bad-quality\":false}");
        assertThat(engine.call("POST", CHAT, chat("hello", 1, false)).body(), containsString("quality=0.95"));
    }

    @Test
    void rejectsOldFencingNumbers() throws Exception {
        assertThat(order(2), equalTo(200));
        assertThat(order(1), equalTo(409));
        assertThat(order(2), equalTo(200));
    }

    @Test
    void executesAnOrderOnceAndLogsAllInOrderOfArrival() throws Exception {
        assertThat(order("first", 2, "v2"), equalTo(200));
        assertThat(order("first", 3, "v2"), equalTo(200));
        assertThat(order("late", 2, "v1"), equalTo(409));
        assertThat(orders(), contains("first 2 OBEYED true", "first 3 REPEATED false", "late 2 OLD_FENCING false"));
        assertThat(order("next", 3, "v3"), equalTo(200));
        assertThat(chatStatus("v3"), equalTo(200));
    }

    @Test
    void engineThatIgnoresFencingExecutesOrdersWithOldNumbers() throws Exception {
        restart(new StandInSettings.Engine("layout-large", "v1", 2, 1, 0.95, 64, true, 0, ""));
        assertThat(order("first", 2, "v2"), equalTo(200));
        assertThat(order("late", 1, "v1"), equalTo(200));
        assertThat(orders(), contains("first 2 OBEYED true", "late 1 OBEYED true"));
    }

    @Test
    void finishesRunningRequestsBeforeLoadingAndRejectsNewOnesAsNotRun() throws Exception {
        restart(new StandInSettings.Engine("layout-large", "v1", 2, 20, 0.95, 64, false, 1, ""));
        CompletableFuture<HttpResponse<String>> running =
                CompletableFuture.supplyAsync(() -> send(chat("p", 50, true)));
        RunningStandIn.awaitTrue(() -> load().startsWith("1/"));
        assertThat(order("first", 1, "v2"), equalTo(202));
        HttpResponse<String> refused = engine.call("POST", CHAT, chat("p", 1, false));
        assertThat(refused.statusCode(), equalTo(503));
        assertThat(refused.headers().firstValue("Baobabcart-Not-Run").orElse(""), equalTo("true"));
        assertThat(running.join().body(), endsWith("data: [DONE]\n\n"));
        RunningStandIn.awaitTrue(() -> chatStatus("v2") == 200);
        assertThat(runs().getJsonObject(0).getString("version"), equalTo("v1"));
    }

    @Test
    void failedLoadKeepsTheOldVersion() throws Exception {
        engine.fault("{\"fail-loads\":true}");
        assertThat(order("first", 1, "v2"), equalTo(200));
        assertThat(chatStatus("v1"), equalTo(200));
        assertThat(chatStatus("v2"), equalTo(409));
    }

    private void restart(StandInSettings.Engine settings) throws Exception {
        engine.close();
        engine = RunningStandIn.start(EngineStandIn::create, RunningStandIn.settings(settings));
    }

    private int chatStatus(String version) {
        return send(chat("p", 1, false), Headers.VERSION, version).statusCode();
    }

    private HttpResponse<String> send(String body, String... headers) {
        try {
            return engine.call("POST", CHAT, body, headers);
        } catch (Exception exception) {
            throw new IllegalStateException(exception);
        }
    }

    private List<String> orders() throws Exception {
        return new JsonArray(engine.call("GET", "/standin/orders", "").body())
                .stream()
                        .map(JsonObject.class::cast)
                        .map(order -> order.getString("orderId") + " " + order.getLong("fencing") + " "
                                + order.getString("verdict") + " " + order.getBoolean("obeyed"))
                        .toList();
    }

    private int order(int fencing) throws Exception {
        return order("order-" + fencing, fencing, "v2");
    }

    private int order(String id, int fencing, String version) throws Exception {
        JsonObject order = new JsonObject()
                .put("orderId", id)
                .put("fencing", fencing)
                .put("action", "load-model")
                .put("model", "layout-large")
                .put("version", version);
        return engine.call("POST", "/orders", order.encode()).statusCode();
    }

    private JsonArray runs() throws Exception {
        return new JsonArray(engine.call("GET", "/standin/runs", "").body());
    }

    private String load() {
        try {
            JsonObject load = engine.json("/load");
            return load.getInteger("running") + "/" + load.getInteger("waiting");
        } catch (Exception exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static String chat(String prompt, int tokens, boolean stream) {
        JsonObject message = new JsonObject().put("role", "user").put("content", prompt);
        return new JsonObject()
                .put("messages", new JsonArray().add(message))
                .put("max_tokens", tokens)
                .put("stream", stream)
                .encode();
    }

    private static String request(String body) {
        return "POST " + CHAT + " HTTP/1.1\r\nHost: engine\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }
}
