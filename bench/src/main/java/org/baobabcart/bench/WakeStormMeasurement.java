package org.baobabcart.bench;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.baobabcart.load.LoadReport;
import org.baobabcart.load.LoadSettings;
import org.baobabcart.load.Outcome;
import org.baobabcart.load.Shape;

/** Every caller in one second, with refused requests coming back. */
final class WakeStormMeasurement implements Measurement {
    private static final double SECONDS_OF_WORK = 30;
    private static final int RETRIES = 20;
    private static final Duration PATIENCE = Duration.ofSeconds(90);
    private static final Duration FIXED_RETRY = Duration.ofSeconds(1);
    private static final double MOST_SECONDS_BEYOND = 10;
    private static final double MOST_TRIES = 1.2;

    @Override
    public String name() {
        return "wake-storm";
    }

    @Override
    public String help() {
        return "every caller in one second with retries, against a fixed time to come back";
    }

    @Override
    public MeasurementResult run(long seed) {
        try (SharedFleet shared = SharedFleet.start(name(), seed)) {
            double capacity = shared.measureCapacity(shared.routed());
            LoadSettings storm = shared.routed()
                    .withRetriesAndTimeout(RETRIES, PATIENCE)
                    .withRate(Shape.WAKE_STORM, capacity, Duration.ofSeconds((long) SECONDS_OF_WORK));
            Storm spread = storm(shared.run(storm));
            Storm fixed = storm(shared.run(storm.withFixedRetry(FIXED_RETRY)));
            Map<String, Object> figures = new LinkedHashMap<>();
            figures.put("capacityRequestsPerSecond", capacity);
            figures.put("secondsOfWork", SECONDS_OF_WORK);
            figures.put("spreadTimesToComeBack", spread);
            figures.put("fixedTimeToComeBack", fixed);
            return new MeasurementResult(
                    name(),
                    seed,
                    figures,
                    List.of(
                            Bound.atMost(
                                    "seconds beyond the capacity's own drain time",
                                    spread.seconds() - SECONDS_OF_WORK,
                                    MOST_SECONDS_BEYOND),
                            Bound.atMost("tries for each request", spread.triesPerRequest(), MOST_TRIES),
                            Bound.atLeast("share of requests answered whole", spread.success(), 1)));
        }
    }

    private static Storm storm(LoadReport report) {
        return new Storm(
                report.seconds(),
                (double) report.all().tries() / report.all().planned(),
                report.all().success(),
                report.all().count(Outcome.REFUSED),
                report.all().codes());
    }

    private record Storm(
            double seconds, double triesPerRequest, double success, long refusedForGood, Map<String, Long> codes) {}
}
