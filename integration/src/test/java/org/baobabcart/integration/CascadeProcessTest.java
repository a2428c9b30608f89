package org.baobabcart.integration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.baobabcart.integration.support.Await;
import org.baobabcart.integration.support.Caller;
import org.baobabcart.integration.support.CallerResponse;
import org.baobabcart.launcher.EngineSettings;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.launcher.FleetSettings;
import org.baobabcart.launcher.LocalFleet;
import org.junit.jupiter.api.Test;

/** A real router gives up a cheap model whose answers never reach the target, and keeps the target throughout. */
class CascadeProcessTest {
    private static final int REQUESTS = 100;
    private static final int GREATEST_LATE_TRIES = 15;

    @Test
    void aCheapModelThatNeverSufficesIsGivenUp() {
        List<EngineSettings> engines = List.of(
                EngineSettings.large("v1").withCapacity(8, 1),
                EngineSettings.small("v1").withCapacity(8, 1));
        try (LocalFleet fleet = LocalFleet.start(FleetSettings.defaults()
                .withName("cascade")
                .withDataCentres("a")
                .withEngines(2, engines))) {
            fleet.publish(fleet.defaultSheet().toJson());
            Caller caller = Caller.of(fleet);
            FleetNode router = fleet.routers().get(0);
            Await.until("the router serves", () -> ask(caller, router).succeeded());
            int before = smallRuns(fleet);
            askAll(caller, router);
            int early = smallRuns(fleet) - before;
            askAll(caller, router);
            int late = smallRuns(fleet) - before - early;
            System.out.printf(
                    "cascade of processes: cheap tries %d then %d of %d requests each%n", early, late, REQUESTS);
            assertThat(early, greaterThan(0));
            assertThat(late, lessThanOrEqualTo(GREATEST_LATE_TRIES));
        }
    }

    private static void askAll(Caller caller, FleetNode router) {
        for (int request = 0; request < REQUESTS; request++) {
            CallerResponse reply = ask(caller, router);
            assertThat(reply.body(), reply.status(), equalTo(200));
            assertThat(reply.body(), containsString("quality=0.95"));
        }
    }

    private static CallerResponse ask(Caller caller, FleetNode router) {
        return caller.chat(router, "layout", "pane", 2).join();
    }

    private static int smallRuns(LocalFleet fleet) {
        return fleet.runs(fleet.engines().get(1)).size();
    }
}
