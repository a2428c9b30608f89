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

/** Engines that go silent or freeze, and a request that crashes each engine that runs it. */
class BrokenUpstreamTest {
    private static final int CALLERS = 8;
    private static final int TOKENS = 8;
    private static final int MANY = 100;
    /** Crashes after which a fingerprint is refused everywhere, and one more for each router that had not heard. */
    private static final int CRASH_BOUND = 2 + 1;

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
    void connectionsThatWentSilentForGoodFailNoRequest() {
        ClosedLoopLoad load = load();
        load.awaitMore(MANY);
        FleetNode engine = fleet.processes().engines().get(0);
        fleet.processes().fault(engine.process(), "{\"silent-connections\":true}");
        int begun = fleet.requestsBegun(List.of(engine)).size();
        load.awaitMore(MANY);
        assertThat(load.end().stream().filter(reply -> !reply.succeeded()).toList(), empty());
        ClosedLoopLoad after = load();
        after.awaitMore(MANY);
        assertThat(after.end().stream().filter(reply -> !reply.succeeded()).toList(), empty());
        assertThat(fleet.requestsBegun(List.of(engine)).size() > begun, equalTo(true));
    }

    @Test
    void aFrozenEngineFailsNoRequest() {
        ClosedLoopLoad load = load();
        load.awaitMore(MANY);
        FleetNode engine = fleet.processes().engines().get(1);
        engine.process().pause();
        load.awaitMore(MANY);
        List<CallerResponse> replies = load.end();
        engine.process().resume();
        assertThat(replies.stream().filter(reply -> !reply.succeeded()).toList(), empty());
    }

    @Test
    void aRequestThatCrashesEnginesIsRefusedEverywhereAfterFewCrashes() {
        List<FleetNode> engines = fleet.processes().engines();
        engines.forEach(engine -> fleet.processes().fault(engine.process(), "{\"crash-on\":\"" + POISON + "\"}"));
        List<CallerResponse> replies = new ArrayList<>();
        for (int round = 0; round < 3; round++) {
            for (FleetNode router : fleet.routers()) {
                replies.add(
                        caller.chat(router, ServingFleet.MODEL, POISON, TOKENS).join());
            }
        }
        long crashed =
                engines.stream().filter(engine -> !engine.process().isAlive()).count();
        assertThat(crashed, lessThanOrEqualTo((long) CRASH_BOUND));
        assertThat(replies.get(replies.size() - 1).code(), equalTo(ResultCode.REQUEST_QUARANTINED.number()));
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
