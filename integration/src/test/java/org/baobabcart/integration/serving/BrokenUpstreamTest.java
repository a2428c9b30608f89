package org.baobabcart.integration.serving;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import org.baobabcart.integration.support.Caller;
import org.baobabcart.integration.support.CallerResponse;
import org.baobabcart.integration.support.ClosedLoopLoad;
import org.baobabcart.integration.support.ServingFleet;
import org.baobabcart.launcher.EngineSettings;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.model.result.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks that engines that stop responding or freeze fail no request, and that a request that crashes engines is
 * blocked.
 */
class BrokenUpstreamTest {
    private static final int CALLERS = 8;
    private static final int TOKENS = 8;
    private static final int BATCH = 100;
    /**
     * Crashes after which a request fingerprint is rejected by all routers, plus one by a router that had not yet been
     * notified.
     */
    private static final int MAX_CRASHES = 2 + 1;

    private static final String POISON = "toughened-poison";
    private ServingFleet fleet;
    private Caller caller;

    @BeforeEach
    void start() {
        fleet = ServingFleet.start("broken", EngineSettings.large("v1"), EngineSettings.large("v1"));
        caller = fleet.caller();
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void silencedConnectionsFailNoRequest() {
        ClosedLoopLoad load = load();
        load.awaitMore(BATCH);
        FleetNode engine = fleet.localFleet().engines().get(0);
        fleet.localFleet().fault(engine.process(), "{\"silent-connections\":true}");
        int started = fleet.requestsStarted(List.of(engine)).size();
        load.awaitMore(BATCH);
        assertThat(
                load.stop().stream().filter(response -> !response.succeeded()).toList(), empty());
        ClosedLoopLoad after = load();
        after.awaitMore(BATCH);
        assertThat(
                after.stop().stream().filter(response -> !response.succeeded()).toList(), empty());
        assertThat(fleet.requestsStarted(List.of(engine)).size() > started, equalTo(true));
    }

    @Test
    void frozenEngineFailsNoRequest() {
        ClosedLoopLoad load = load();
        load.awaitMore(BATCH);
        FleetNode engine = fleet.localFleet().engines().get(1);
        engine.process().pause();
        load.awaitMore(BATCH);
        List<CallerResponse> responses = load.stop();
        engine.process().resume();
        assertThat(responses.stream().filter(response -> !response.succeeded()).toList(), empty());
    }

    @Test
    void requestThatCrashesEnginesIsRejectedByAllRoutersAfterFewCrashes() {
        List<FleetNode> engines = fleet.localFleet().engines();
        engines.forEach(engine -> fleet.localFleet().fault(engine.process(), "{\"crash-on\":\"" + POISON + "\"}"));
        List<CallerResponse> responses = new ArrayList<>();
        for (int round = 0; round < 3; round++) {
            for (FleetNode router : fleet.routers()) {
                responses.add(
                        caller.chat(router, ServingFleet.MODEL, POISON, TOKENS).join());
            }
        }
        long crashed =
                engines.stream().filter(engine -> !engine.process().isAlive()).count();
        assertThat(crashed, lessThanOrEqualTo((long) MAX_CRASHES));
        assertThat(responses.get(responses.size() - 1).code(), equalTo(ResultCode.REQUEST_QUARANTINED.number()));
    }

    private ClosedLoopLoad load() {
        List<FleetNode> routers = fleet.routers();
        return ClosedLoopLoad.start(
                CALLERS,
                number -> caller.chat(
                                routers.get(number % routers.size()), ServingFleet.MODEL, "pane " + number, TOKENS)
                        .join());
    }
}
