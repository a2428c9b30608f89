package org.baobabcart.integration.serving;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import org.baobabcart.integration.support.ServingFleet;
import org.baobabcart.launcher.EngineSettings;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.load.LoadGenerator;
import org.baobabcart.load.LoadReport;
import org.baobabcart.load.LoadSettings;
import org.baobabcart.load.LoadWorkspace;
import org.baobabcart.load.Shape;
import org.junit.jupiter.api.Test;

/**
 * All callers start in the same second, with more requests than can be served within the latency target of their rank.
 * Their timeouts are long enough to wait, so all must be served with few retries.
 */
class WakeStormTest {
    private static final int SLOTS = 4;
    private static final double TOKEN_MILLIS = 20;
    private static final double STEP_GROWTH_PER_REQUEST = 0.25;
    private static final int ENGINES = 4;
    private static final int TOKENS = 16;
    private static final int SECONDS_OF_WORK = 12;
    private static final int RETRIES = 20;
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(60);
    private static final double MAX_EXTRA_SECONDS = 10;
    private static final double MAX_TRIES_PER_REQUEST = 1.2;

    @Test
    void allAreAnsweredWithinTheTimeOfTheWorkAndFewComeTwice() {
        EngineSettings engine = EngineSettings.large("v1").withCapacity(SLOTS, TOKEN_MILLIS);
        try (ServingFleet fleet = ServingFleet.start("wake-storm", engine, engine);
                LoadGenerator generator = LoadGenerator.create()) {
            LoadReport report = generator.run(storm(fleet));
            assertThat(report.all().success(), equalTo(1.0));
            double tries = (double) report.all().tries() / report.all().planned();
            assertThat(tries, lessThanOrEqualTo(MAX_TRIES_PER_REQUEST));
            assertThat(report.seconds(), lessThanOrEqualTo(SECONDS_OF_WORK + MAX_EXTRA_SECONDS));
        }
    }

    private static LoadSettings storm(ServingFleet fleet) {
        List<String> routers = fleet.routers().stream().map(FleetNode::caller).toList();
        List<LoadWorkspace> workspaces = fleet.localFleet().defaultSheet().workspaces().stream()
                .map(workspace -> new LoadWorkspace(workspace.name(), workspace.key(), 1))
                .toList();
        return LoadSettings.of(routers, workspaces, ServingFleet.MODEL)
                .withSeed(1)
                .withRetriesAndTimeout(RETRIES, CALLER_TIMEOUT)
                .withRate(Shape.WAKE_STORM, ratePerSecond(), Duration.ofSeconds(SECONDS_OF_WORK));
    }

    /** Returns the rate that the engines serve with full batches, at one step per token and one for the prompt. */
    private static double ratePerSecond() {
        double stepMillis = TOKEN_MILLIS * (1 + STEP_GROWTH_PER_REQUEST * (SLOTS - 1));
        return ENGINES * SLOTS * 1000 / (stepMillis * (TOKENS + 1));
    }
}
