package org.baobabcart.router.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.OptionalDouble;
import org.baobabcart.model.request.Headers;
import org.baobabcart.model.rollout.RollOutProgress;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.rollout.RollOutStatus;
import org.baobabcart.router.view.TrafficView;
import org.junit.jupiter.api.Test;

/** Responses, refusals, cascades and bookings of the caller API when upstreams work. */
class CallerApiTest extends CallerApiTestBase {
    @Test
    void chatResponseCarriesVersionAndSessionAndIsBilledOnce() throws Exception {
        FakeUpstream engine = upstream("e1", FakeUpstream.responding("done"));
        fakes.setView(sheet(), engine.engine("layout-large", "v1"));
        HttpResponse<String> response = chat("layout-large", false);
        assertThat(response.body(), response.statusCode(), is(200));
        assertThat(response.body(), containsString("done"));
        assertThat(response.headers().firstValue(Headers.MODEL).orElse(""), is("layout-large"));
        assertThat(response.headers().firstValue(Headers.VERSION).orElse(""), is("v1"));
        assertThat(response.headers().firstValue(Headers.SESSION).isPresent(), is(true));
        assertThat(fakes.bills, hasSize(1));
        assertThat(fakes.bills.get(0).units(), is(7L));
    }

    @Test
    void streamedResponseEndsWithDone() throws Exception {
        FakeUpstream engine = upstream("e1", FakeUpstream.streaming("a", "b"));
        fakes.setView(sheet(), engine.engine("layout-large", "v1"));
        HttpResponse<String> response = chat("layout-large", true);
        assertThat(response.statusCode(), is(200));
        assertThat(
                response.body(), equalTo(FakeUpstream.event("a") + "" + FakeUpstream.event("b") + "data: [DONE]\n\n"));
        assertThat(fakes.bills, hasSize(1));
        assertThat(fakes.bills.get(0).units(), is(7L));
    }

    @Test
    void brokenStreamEndsWithErrorEvent() throws Exception {
        FakeUpstream engine = upstream(
                "e1",
                request -> FakeUpstream.beginStream(request)
                        .write(FakeUpstream.event("a"))
                        .onSuccess(ignored -> request.connection().close()));
        fakes.setView(sheet(), engine.engine("layout-large", "v1"));
        HttpResponse<String> response = chat("layout-large", true);
        assertThat(response.body(), containsString("event: error"));
        assertThat(response.body(), not(containsString("[DONE]")));
        assertThat(engine.requests(), hasSize(1));
        assertThat(fakes.bills, hasSize(0));
    }

    @Test
    void streamWithoutClosingEventIsIncomplete() throws Exception {
        FakeUpstream engine =
                upstream("e1", request -> FakeUpstream.beginStream(request).end(FakeUpstream.event("a")));
        fakes.setView(sheet(), engine.engine("layout-large", "v1"));
        HttpResponse<String> response = chat("layout-large", true);
        assertThat(response.body(), containsString("ANSWER_INCOMPLETE"));
        assertThat(response.body(), not(containsString("[DONE]")));
    }

    @Test
    void cascadeEscalatesOnLowRatingWithOneBill() throws Exception {
        FakeUpstream small = upstream("small", FakeUpstream.streaming("cheap"));
        FakeUpstream large = upstream("large", FakeUpstream.streaming("good"));
        fakes.setView(sheet(), small.engine("layout-small", "v1"), large.engine("layout-large", "v1"));
        fakes.rating = OptionalDouble.of(0.3);
        HttpResponse<String> response = chat("layout", true);
        assertThat(response.body(), containsString("good"));
        assertThat(response.body(), not(containsString("cheap")));
        assertThat(response.body(), endsWith("data: [DONE]\n\n"));
        assertThat(fakes.bills, hasSize(1));
        fakes.rating = OptionalDouble.of(0.9);
        assertThat(chat("layout", true).body(), containsString("cheap"));
        assertThat(large.requests(), hasSize(1));
    }

    @Test
    void refusalsCarryResultCodeAndNotRun() throws Exception {
        FakeUpstream engine = upstream("e1", FakeUpstream.responding("done"));
        fakes.setView(sheet(), engine.engine("layout-large", "v1"));
        assertRefused(chat("layout-large", false, "Authorization", "Bearer wrong"), 401, 1101);
        assertRefused(chat("secret", false), 403, 1102);
        assertRefused(chat("nothing", false), 404, 1103);
        assertRefused(chat("layout-small", false), 503, 1301);
        assertRefused(chat("layout-large", false, Headers.RANK, "royal"), 400, 1005);
        assertRefused(chat("layout-large", false, Headers.TIMEOUT_MILLIS, "soon"), 400, 1008);
        assertRefused(chat("layout-large", false, Headers.SESSION, "bcs1.k1.x.y"), 400, 1107);
        assertRefused(post("/v1/chat/completions", "{\"model\":"), 400, 1001);
        assertRefused(post("/v1/chat/completions", "[]"), 400, 1001);
        assertRefused(post("/v1/completions", "{\"model\":\"layout-large\"}"), 400, 1001);
        assertRefused(get("/v1/chat/completions"), 405, 1007);
        assertRefused(get("/elsewhere"), 404, 1006);
        assertRefused(get("/services/none/status"), 404, 1106);
        assertRefused(post("/services/orders/bookings", "{}"), 400, 1401);
        assertRefused(get("/services/orders/a%2fb"), 400, 1001);
        assertThat(engine.requests(), hasSize(0));
    }

    @Test
    void bookingRunsOnceAndIsReplayed() throws Exception {
        FakeUpstream service =
                upstream("s1", request -> request.response().setStatusCode(201).end("{\"cut\":1}"));
        fakes.setView(sheet(), service.service("orders"));
        HttpResponse<String> first = post("/services/orders/bookings", "{}", Headers.IDEMPOTENCY_KEY, "b1");
        HttpResponse<String> second = post("/services/orders/bookings", "{}", Headers.IDEMPOTENCY_KEY, "b1");
        assertThat(first.statusCode(), is(201));
        assertThat(second.statusCode(), is(201));
        assertThat(second.body(), is("{\"cut\":1}"));
        assertThat(service.requests(), hasSize(1));
        assertThat(fakes.bills, hasSize(1));
    }

    @Test
    void rollOutResponsesAreRatedAndFailuresCounted() throws Exception {
        FakeUpstream engine = upstream("e1", FakeUpstream.streaming("good"));
        fakes.setView(sheet(), engine.engine("layout-large", "v1"), engine.engine("layout-large", "v2"));
        RollOutProgress progress = new RollOutProgress("layout-large", "v2", RollOutStatus.RUNNING, 0, "");
        fakes.view = new TrafficView(
                fakes.view.sheet(), RollOutState.empty().withProgress(progress, "w"), fakes.view.upstreams(), false);
        fakes.rating = OptionalDouble.of(0.25);
        chat("layout-large@v2", true);
        await(() -> fakes.versionOutcomes.equals(List.of("layout-large@v2 true OptionalDouble[0.25]")));
        engine.setHandler(request -> request.response().setStatusCode(500).end());
        assertThat(chat("layout-large@v1", true).statusCode(), is(502));
        assertThat(fakes.versionOutcomes, hasItem("layout-large@v1 false OptionalDouble.empty"));
        assertThat("only the successful response has a latency", fakes.latencyLosses, hasSize(1));
        assertThat(fakes.latencyLosses.get(0), greaterThan(0.0));
        assertThat(fakes.latencyLosses.get(0), lessThan(1.0));
    }

    @Test
    void listsModelsOfTheWorkspace() throws Exception {
        fakes.setView(sheet());
        String body = get("/v1/models").body();
        assertThat(body, containsString("\"layout-large@v2\""));
        assertThat(body, containsString("\"layout\""));
        assertThat(body, not(containsString("secret")));
    }

    private static void assertRefused(HttpResponse<String> response, int status, int code) {
        assertThat(response.body(), response.statusCode(), is(status));
        assertThat(response.body(), containsString("\"code\":" + code));
        assertThat(response.body(), containsString("\"ran\":\"no\""));
    }
}
