package org.baobabcart.integration.serving;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.baobabcart.integration.support.Caller;
import org.baobabcart.integration.support.CallerResponse;
import org.baobabcart.integration.support.ClosedLoopLoad;
import org.baobabcart.integration.support.ServingFleet;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.model.request.Headers;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.SheetReader;
import org.baobabcart.model.sheet.Withdrawal;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks that sessions keep their version while shares change and routers crash, and that a withdrawn version gets no
 * new requests.
 */
class SessionVersionTest {
    private static final int SESSIONS = 24;
    private static final int CALLERS = 8;
    private static final int BATCH = 150;
    private ServingFleet fleet;
    private Caller caller;

    @BeforeEach
    void start() {
        fleet = ServingFleet.start("sessions");
        caller = fleet.caller();
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void sessionsKeepTheirVersionWhileSharesChangeAndARouterCrashes() {
        fleet.publish(shares(0.5, 0.5));
        List<FleetNode> routers = fleet.routers();
        List<CallerResponse> started = IntStream.range(0, SESSIONS)
                .mapToObj(session -> chat(routers.get(session % routers.size()), Map.of()))
                .toList();
        assertThat(started.stream().map(CallerResponse::version).collect(Collectors.toSet()), hasItems("v1", "v2"));
        List<String> namedVersions = IntStream.range(0, SESSIONS)
                .mapToObj(session ->
                        chat(routers.get(0), header("fundi-" + session)).version())
                .toList();
        fleet.publish(shares(0, 1));
        routers.get(0).process().kill();
        for (FleetNode router : routers.subList(1, routers.size())) {
            for (int session = 0; session < SESSIONS; session++) {
                CallerResponse token = chat(router, header(started.get(session).session()));
                assertThat(token.version(), equalTo(started.get(session).version()));
                assertThat(chat(router, header("fundi-" + session)).version(), equalTo(namedVersions.get(session)));
            }
        }
    }

    @Test
    void withdrawnVersionGetsNoNewRequestsFromSessionsOrTheQueue() {
        fleet.publish(shares(0.5, 0.5));
        List<FleetNode> routers = fleet.routers();
        List<String> tokens = IntStream.range(0, SESSIONS)
                .mapToObj(session -> chat(routers.get(session % routers.size()), Map.of()))
                .filter(response -> response.version().equals("v2"))
                .map(CallerResponse::session)
                .toList();
        assertThat(tokens.isEmpty(), is(false));
        ClosedLoopLoad load = ClosedLoopLoad.start(
                CALLERS,
                number -> chat(
                        routers.get(number % routers.size()),
                        number % 2 == 0 ? Map.of() : header(tokens.get(number % tokens.size()))));
        load.awaitMore(BATCH);
        Sheet sheet = SheetReader.create().read(shares(0.5, 0.5));
        fleet.publish(SheetReader.create().write(sheet.withWithdrawal(new Withdrawal(ServingFleet.MODEL, "v2"))));
        int started = fleet.requestsStarted(fleet.engines("v2")).size();
        load.awaitMore(BATCH);
        Set<String> versions = tokens.stream()
                .map(token -> chat(routers.get(3), header(token)).version())
                .collect(Collectors.toSet());
        assertThat(versions, contains("v1"));
        assertThat(fleet.requestsStarted(fleet.engines("v2")).size(), equalTo(started));
        assertThat(
                load.stop().stream().filter(response -> !response.succeeded()).toList(), empty());
    }

    private CallerResponse chat(FleetNode router, Map<String, String> headers) {
        return caller.chat(router, ServingFleet.MODEL, "how many panes", 2, headers)
                .join();
    }

    private static Map<String, String> header(String session) {
        return Map.of(Headers.SESSION, session);
    }

    private JsonNode shares(double first, double second) {
        JsonNode sheet = fleet.localFleet().defaultSheet().toJson().deepCopy();
        ((ObjectNode) sheet).putArray("rollOuts");
        sheet.path("models").forEach(model -> {
            if (model.path("name").asText().equals(ServingFleet.MODEL)) {
                ((ObjectNode) model.path("versions").get(0)).put("share", first);
                ((ObjectNode) model.path("versions").get(1)).put("share", second);
            }
        });
        return sheet;
    }
}
