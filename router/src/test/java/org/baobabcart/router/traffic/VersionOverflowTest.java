package org.baobabcart.router.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import io.vertx.core.http.HttpServerRequest;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.baobabcart.model.rollout.RollOutProgress;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.rollout.RollOutStatus;
import org.baobabcart.model.sheet.ControllerLossPolicy;
import org.baobabcart.model.sheet.RollOut;
import org.baobabcart.model.sheet.RollOutStage;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.policy.upstream.ConcurrencyLimit;
import org.baobabcart.router.view.TrafficView;
import org.junit.jupiter.api.Test;

/**
 * During a roll-out, requests that the new version has no free slot for go to the old version, but not the other way
 * round, because that would raise the new version's share. Nothing may be queued at this router.
 */
class VersionOverflowTest extends CallerApiTestBase {
    private static final int ENGINE_SLOTS = ConcurrencyLimit.initial().maximumInFlight();
    private static final int REQUESTS = 40;

    @Override
    TrafficSettings settings() {
        TrafficSettings.Limits limits = super.settings().limits();
        return super.settings()
                .withLimits(new TrafficSettings.Limits(
                        limits.bodyBytes(), limits.headerBytes(), limits.responseBytes(), 0, 0, limits.attempts()));
    }

    @Test
    void overflowOfNewVersionGoesToOldVersion() throws Exception {
        assertThat(statusesWhileFull("v2"), is(List.of(200)));
    }

    @Test
    void overflowOfOldVersionIsRefused() throws Exception {
        assertThat(statusesWhileFull("v1"), hasItem(429));
    }

    /** Returns the distinct statuses of requests that name no version while all slots of one version are taken. */
    private List<Integer> statusesWhileFull(String version) throws Exception {
        List<HttpServerRequest> pending = new ArrayList<>();
        FakeUpstream full = upstream("full", pending::add);
        FakeUpstream free = upstream("free", FakeUpstream.responding("done"));
        String other = version.equals("v1") ? "v2" : "v1";
        fakes.setView(withRollOut(sheet()), full.engine("layout-large", version), free.engine("layout-large", other));
        RollOutProgress progress = new RollOutProgress("layout-large", "v2", RollOutStatus.RUNNING, 0, "");
        fakes.view = new TrafficView(
                fakes.view.sheet(), RollOutState.empty().withProgress(progress, "w"), fakes.view.upstreams(), false);
        List<CompletableFuture<HttpResponse<String>>> running = new ArrayList<>();
        for (int slot = 0; slot < ENGINE_SLOTS; slot++) {
            String body = "{\"model\":\"layout-large@" + version + "\",\"messages\":[{\"role\":\"user\","
                    + "\"content\":\"pane " + slot + "\"}]}";
            running.add(http.sendAsync(
                    request("/v1/chat/completions")
                            .POST(HttpRequest.BodyPublishers.ofString(body))
                            .build(),
                    HttpResponse.BodyHandlers.ofString()));
        }
        await(() -> full.requests().size() == ENGINE_SLOTS);
        List<Integer> statuses = new ArrayList<>();
        for (int index = 0; index < REQUESTS; index++) {
            statuses.add(chat("layout-large", false).statusCode());
        }
        running.forEach(request -> request.cancel(true));
        return statuses.stream().distinct().toList();
    }

    private static Sheet withRollOut(Sheet sheet) {
        RollOut rollOut = new RollOut(
                "layout-large", "v1", "v2", List.of(new RollOutStage(0.5, 600, 1_000)), ControllerLossPolicy.REST);
        return sheet.withRollOuts(List.of(rollOut));
    }
}
