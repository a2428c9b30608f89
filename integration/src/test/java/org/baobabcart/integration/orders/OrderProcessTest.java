package org.baobabcart.integration.orders;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.baobabcart.integration.support.Await;
import org.baobabcart.integration.support.Caller;
import org.baobabcart.integration.support.CallerResponse;
import org.baobabcart.integration.support.ClosedLoopLoad;
import org.baobabcart.launcher.EngineSettings;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.launcher.FleetSettings;
import org.baobabcart.launcher.LocalFleet;
import org.baobabcart.model.sheet.Placement;
import org.baobabcart.model.sheet.SheetReader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks orders to engines that check or ignore fencing numbers, while lease holders and the platform fail.
 */
class OrderProcessTest {
    private static final String DATA_CENTRE = "a";
    private static final String MODEL = "layout-large";
    private static final long LOAD_MILLIS = 1_000;
    private static final int CALLERS = 4;
    private static final int BATCH = 100;
    private static final Duration LONGER_THAN_RESEND_DELAY = Duration.ofSeconds(8);

    private LocalFleet fleet;

    @BeforeEach
    void start() {
        EngineSettings checking = EngineSettings.large("v1").withOrderHandling(LOAD_MILLIS, true);
        EngineSettings ignoring = EngineSettings.large("v1").withOrderHandling(LOAD_MILLIS, false);
        fleet = LocalFleet.start(FleetSettings.defaults()
                .withName("orders")
                .withDataCentres(DATA_CENTRE)
                .withRoutersPerDataCentre(2)
                .withEngines(4, List.of(checking, ignoring))
                .withServices());
        fleet.routers().forEach(router -> Await.until("the router has discovered the other", () -> hasPeer(router)));
        publishPlacements(4, 0);
        Await.until("a router holds the lease", () -> holder().isPresent());
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void ordersFollowPlacementsAndCutOffNoRequest() {
        Caller caller = Caller.of(fleet);
        List<FleetNode> routers = fleet.routers();
        ClosedLoopLoad load = ClosedLoopLoad.start(
                CALLERS,
                number -> caller.stream(routers.get(number % routers.size()), MODEL, "pane " + number, 16)
                        .join());
        load.awaitMore(BATCH);
        publishPlacements(2, 2);
        Await.until("two engines serve v2", () -> serving("v2") == 2);
        load.awaitMore(BATCH);
        List<CallerResponse> responses = load.stop();
        assertThat(
                responses.stream()
                        .filter(response -> !response.isCompleteStream())
                        .toList(),
                empty());
        assertThat(serving("v1"), equalTo(2L));
        assertThat(executedOrders(), equalTo(2));
        assertThat(outOfOrder(), empty());
    }

    @Test
    void holderResumedAfterLeaseExpirySendsNoOrderAfterItsSuccessor() {
        fleet.engines().forEach(engine -> fleet.fault(engine.process(), "{\"outage\":true}"));
        publishPlacements(2, 2);
        FleetNode first = holder().orElseThrow();
        Await.until("orders are in flight", () -> inFlight(first) == 2);
        Await.until("orders have been sent", () -> ordersSent(first) >= 2);
        first.process().pause();
        Await.until("the other router holds the lease", () -> isHolder(other(first)));
        fleet.engines().forEach(engine -> fleet.fault(engine.process(), "{\"outage\":false}"));
        Await.until("two engines serve v2", () -> serving("v2") == 2);
        first.process().resume();
        Await.elapsed(LONGER_THAN_RESEND_DELAY);
        assertThat(outOfOrder(), empty());
        assertThat(executedOrders(), equalTo(2));
        assertThat(isHolder(first), is(false));
    }

    @Test
    void nextHolderCompletesOrdersOfAKilledHolder() {
        publishPlacements(2, 2);
        FleetNode first = holder().orElseThrow();
        Await.until("orders are in flight", () -> inFlight(first) > 0);
        first.process().kill();
        Await.until("the other router holds the lease", () -> isHolder(other(first)));
        Await.until("two engines serve v2", () -> serving("v2") == 2 && inFlight(other(first)) == 0);
        assertThat(executedOrders(), equalTo(2));
        assertThat(outOfOrder(), empty());
    }

    @Test
    void platformOutageStopsOrdersAndEnginesKeepTheirVersion() {
        fleet.fault(fleet.platform(), "{\"outage\":true}");
        Await.until("the lease has run out", () -> holder().isEmpty());
        assertThat(serving("v1"), equalTo(4L));
        assertThat(receivedOrders(), empty());
        fleet.fault(fleet.platform(), "{\"outage\":false}");
        publishPlacements(2, 2);
        Await.until("two engines serve v2", () -> serving("v2") == 2);
        assertThat(executedOrders(), equalTo(2));
        assertThat(outOfOrder(), empty());
    }

    @Test
    void lostPlatformResponsesDoNotDuplicateOrders() {
        publishPlacements(2, 2);
        fleet.fault(fleet.platform(), "{\"lose-answers-after-write\":true}");
        Await.elapsed(LONGER_THAN_RESEND_DELAY);
        fleet.fault(fleet.platform(), "{\"lose-answers-after-write\":false}");
        Await.until("two engines serve v2", () -> serving("v2") == 2);
        assertThat(receivedOrders(), not(empty()));
        assertThat(executedOrders(), equalTo(2));
        assertThat(outOfOrder(), empty());
    }

    private void publishPlacements(int first, int second) {
        List<Placement> placements = List.of(
                new Placement(DATA_CENTRE, MODEL, "v1", first), new Placement(DATA_CENTRE, MODEL, "v2", second));
        long generation = fleet.publish(
                SheetReader.create().write(fleet.defaultSheet().sheet().withPlacements(placements)));
        assertThat(generation, greaterThan(0L));
    }

    private Optional<FleetNode> holder() {
        return fleet.routers().stream()
                .filter(router -> router.process().isAlive())
                .filter(this::isHolder)
                .findFirst();
    }

    private FleetNode other(FleetNode router) {
        return fleet.routers().stream()
                .filter(candidate -> !candidate.equals(router))
                .findFirst()
                .orElseThrow();
    }

    private boolean isHolder(FleetNode router) {
        return status(router).path("orders").path("fencing").asLong() > 0;
    }

    private int inFlight(FleetNode router) {
        return status(router).path("orders").path("inFlight").size();
    }

    private int ordersSent(FleetNode router) {
        JsonNode events = fleet.calls().get(router.admin() + "/timeline").body();
        int sent = 0;
        for (JsonNode type : events.findValues("type")) {
            sent += type.asText().equals("ORDER_SENT") ? 1 : 0;
        }
        return sent;
    }

    private boolean hasPeer(FleetNode router) {
        return !status(router).path("members").isEmpty();
    }

    private JsonNode status(FleetNode router) {
        return fleet.calls().get(router.admin() + "/status").body();
    }

    private long serving(String version) {
        long serving = 0;
        JsonNode list = fleet.calls()
                .get(fleet.virtualMachines().url("http") + "/vms")
                .body()
                .path("virtualMachines");
        for (JsonNode machine : list) {
            boolean engine = machine.path("role").asText().equals("ENGINE");
            serving += engine && machine.path("version").asText().equals(version) ? 1 : 0;
        }
        return serving;
    }

    private int executedOrders() {
        return (int) receivedOrders().stream()
                .filter(order -> order.path("obeyed").asBoolean())
                .count();
    }

    private List<JsonNode> receivedOrders() {
        List<JsonNode> receivedOrders = new ArrayList<>();
        fleet.engines().forEach(engine -> orders(engine).forEach(receivedOrders::add));
        return receivedOrders;
    }

    /** Returns the orders that reached an engine after one with a greater fencing number. */
    private List<JsonNode> outOfOrder() {
        List<JsonNode> late = new ArrayList<>();
        for (FleetNode engine : fleet.engines()) {
            long greatest = 0;
            for (JsonNode order : orders(engine)) {
                long fencing = order.path("fencing").asLong();
                if (fencing < greatest) {
                    late.add(order);
                }
                greatest = Math.max(greatest, fencing);
            }
        }
        return late;
    }

    private JsonNode orders(FleetNode engine) {
        return fleet.calls().get(engine.http() + "/standin/orders").body();
    }
}
