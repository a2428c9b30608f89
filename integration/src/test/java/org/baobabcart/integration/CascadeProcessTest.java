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

/**
 * Checks that a router process stops trying a cheap model whose responses never reach the quality target, and that all
 * responses returned meet it.
 */
class CascadeProcessTest {
    private static final int REQUESTS = 100;
    private static final int MAX_LATE_TRIES = 15;

    @Test
    void stopsTryingACheapModelThatNeverReachesTheTarget() {
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
            Await.until("the router serves", () -> chat(caller, router).succeeded());
            int before = smallModelRuns(fleet);
            chatRepeatedly(caller, router);
            int early = smallModelRuns(fleet) - before;
            chatRepeatedly(caller, router);
            int late = smallModelRuns(fleet) - before - early;
            System.out.printf(
                    "cascade of processes: cheap model tried for %d, then %d of %d requests each%n",
                    early, late, REQUESTS);
            assertThat(early, greaterThan(0));
            assertThat(late, lessThanOrEqualTo(MAX_LATE_TRIES));
        }
    }

    private static void chatRepeatedly(Caller caller, FleetNode router) {
        for (int request = 0; request < REQUESTS; request++) {
            CallerResponse response = chat(caller, router);
            assertThat(response.body(), response.status(), equalTo(200));
            assertThat(response.body(), containsString("quality=0.95"));
        }
    }

    private static CallerResponse chat(Caller caller, FleetNode router) {
        return caller.chat(router, "layout", "pane", 2).join();
    }

    private static int smallModelRuns(LocalFleet fleet) {
        return fleet.runs(fleet.engines().get(1)).size();
    }
}
