package org.baobabcart.integration.serving;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.time.Duration;
import java.util.List;
import org.baobabcart.integration.support.Await;
import org.baobabcart.integration.support.Caller;
import org.baobabcart.integration.support.CallerResponse;
import org.baobabcart.integration.support.ClosedLoopLoad;
import org.baobabcart.integration.support.LoadBalancer;
import org.baobabcart.integration.support.ServingFleet;
import org.baobabcart.launcher.FleetNode;
import org.junit.jupiter.api.Test;

/** Restarts every router in turn while callers send requests; no request may fail or be cut off. */
class RollingRestartTest {
    private static final int CALLERS = 12;
    private static final int TOKENS = 60;
    /**
     * A stream of this many tokens lasts longer than the load balancer's delay, so that it is in progress when the
     * drain starts.
     */
    private static final int LONG_STREAM_TOKENS = 1_000;

    private static final Duration EXIT_TIMEOUT = Duration.ofSeconds(60);

    @Test
    void rollingRestartCutsOffNoRequest() {
        try (ServingFleet fleet = ServingFleet.start("rolling-restart");
                LoadBalancer balancer = LoadBalancer.create(fleet.localFleet(), fleet.routers())) {
            Caller caller = fleet.caller();
            ClosedLoopLoad load =
                    ClosedLoopLoad.start(CALLERS, number -> request(caller, balancer.nextRouter(), number));
            load.awaitMore(CALLERS);
            for (FleetNode router : fleet.routers()) {
                assertThat(router.name(), router.process().terminate(EXIT_TIMEOUT), equalTo(0));
                load.awaitMore(CALLERS);
                router.process().restart();
                Await.until(router.name() + " is ready again", () -> fleet.isReady(router));
                load.awaitMore(CALLERS);
            }
            List<CallerResponse> failed = load.stop().stream()
                    .filter(response -> !isComplete(response))
                    .toList();
            assertThat(failed, empty());
        }
    }

    private static CallerResponse request(Caller caller, FleetNode router, int number) {
        return number % 2 == 0
                ? caller.stream(router, ServingFleet.MODEL, "pane " + number, LONG_STREAM_TOKENS)
                        .join()
                : caller.chat(router, ServingFleet.MODEL, "pane " + number, TOKENS)
                        .join();
    }

    private static boolean isComplete(CallerResponse response) {
        return response.isCompleteStream()
                || response.succeeded() && response.json().has("choices");
    }
}
