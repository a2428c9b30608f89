package org.baobabcart.standins.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.Socket;
import java.net.http.HttpResponse;
import org.baobabcart.model.request.Headers;
import org.baobabcart.standins.base.RunningStandIn;
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
    void answersAreFunctionsOfTheRequest() throws Exception {
        HttpResponse<String> response = engine.call("POST", CHAT, chat("hello", 3, false), Headers.REQUEST_ID, "r1");
        JsonObject body = new JsonObject(response.body());
        JsonObject message = body.getJsonArray("choices").getJsonObject(0).getJsonObject("message");
        assertThat(message.getString("content"), equalTo("layout-large@v1 quality=0.95 tokens: t1 t2 t3 end"));
        assertThat(body.getJsonObject("usage").getInteger("completion_tokens"), equalTo(3));
        assertThat(response.headers().firstValue(Headers.REQUEST_ID).orElseThrow(), equalTo("r1"));
        assertThat(runs().getJsonObject(0).getBoolean("finished"), is(true));
    }

    @Test
    void streamsEndWithDone() throws Exception {
        HttpResponse<String> response = engine.call("POST", CHAT, chat("hello", 2, true));
        assertThat(response.body(), containsString("\"content\":\" t2 end\""));
        assertThat(response.body(), endsWith("data: [DONE]\n\n"));
    }

    @Test
    void aPromptSeenLatelyHitsThePrefixCache() throws Exception {
        String prompt = "a long prompt about panes ".repeat(4);
        engine.call("POST", CHAT, chat(prompt, 1, false));
        HttpResponse<String> second = engine.call("POST", CHAT, chat(prompt + "and doors", 1, false));
        assertThat(second.headers().firstValue(EngineStandIn.PREFIX_HIT).orElseThrow(), equalTo("true"));
    }

    @Test
    void aClosedConnectionCancelsTheWork() throws Exception {
        Socket socket = RunningStandIn.connect(engine.port("http"));
        RunningStandIn.send(socket, request(chat("hello", 8000, true)));
        assertThat(socket.getInputStream().read(), equalTo((int) 'H'));
        socket.close();
        RunningStandIn.awaitTrue(() -> load().equals("0/0"));
        assertThat(runs().getJsonObject(0).getBoolean("finished"), is(false));
    }

    @Test
    void aSilentConnectionStaysSilentWhileANewOneWorks() throws Exception {
        try (Socket silent = RunningStandIn.connect(engine.port("http"))) {
            RunningStandIn.send(silent, request(chat("hello", 1, false)));
            assertThat(silent.getInputStream().read(), equalTo((int) 'H'));
            RunningStandIn.awaitTrue(() -> load().equals("0/0"));
            engine.fault("{\"silent-connections\":true}");
            silent.getInputStream().skip(silent.getInputStream().available());
            RunningStandIn.send(silent, request(chat("hello", 1, false)));
            assertThat(engine.call("POST", CHAT, chat("hello", 1, false)).statusCode(), equalTo(200));
            assertThat(silent.getInputStream().available(), equalTo(0));
        }
        assertThat(runs().size(), equalTo(2));
    }

    @Test
    void refusalsBeforeTheStartSayNotRun() throws Exception {
        HttpResponse<String> other = engine.call("POST", CHAT, chat("hello", 1, false), Headers.VERSION, "v2");
        engine.fault("{\"leave\":true}");
        HttpResponse<String> leaving = engine.call("POST", CHAT, chat("hello", 1, false));
        assertThat(other.statusCode(), equalTo(409));
        assertThat(leaving.statusCode(), equalTo(503));
        assertThat(leaving.headers().firstValue("Baobabcart-Not-Run").orElseThrow(), equalTo("true"));
        assertThat(runs().isEmpty(), is(true));
    }

    @Test
    void faultsChangeAnswers() throws Exception {
        engine.fault("{\"bad-quality\":true}");
        assertThat(engine.call("POST", CHAT, chat("hello", 1, false)).body(), containsString("quality=0.2"));
        engine.fault("{\"fail\":true}");
        assertThat(engine.call("POST", CHAT, chat("hello", 1, false)).statusCode(), equalTo(500));
        engine.fault("{\"fail\":false,\"bad-quality\":false}");
        assertThat(engine.call("POST", CHAT, chat("hello", 1, false)).body(), containsString("quality=0.95"));
    }

    @Test
    void oldFencingNumbersAreRefused() throws Exception {
        assertThat(order(2), equalTo(200));
        assertThat(order(1), equalTo(409));
        assertThat(order(2), equalTo(200));
    }

    private int order(int fencing) throws Exception {
        String order = "{\"order\":\"load-model\",\"model\":\"layout-large\",\"version\":\"v2\",\"fencing\":" + fencing;
        return engine.call("POST", "/orders", order + "}").statusCode();
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
