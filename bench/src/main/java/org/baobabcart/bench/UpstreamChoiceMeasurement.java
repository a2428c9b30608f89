package org.baobabcart.bench;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.load.LoadReport;
import org.baobabcart.load.LoadSettings;
import org.baobabcart.load.Shape;
import org.baobabcart.load.TargetChoice;

/**
 * The choice of engines at 70% and 90% of capacity, one engine three times as slow, prompts with shared prefixes. The
 * baselines go straight to the engines, so they have no router's time to bear.
 */
final class UpstreamChoiceMeasurement implements Measurement {
    private static final double[] LOADS = {0.7, 0.9};
    private static final int PROMPTS = 120;
    private static final int PROMPT_CHARACTERS = 4_000;
    private static final Duration DURATION = Duration.ofSeconds(20);
    private static final Duration LOAD_REPORT_LAG = Duration.ofSeconds(1);
    private static final double MOST_LATENCY_RATIO = 0.6;
    private static final double LEAST_HIT_RATIO = 2;

    @Override
    public String name() {
        return "upstream-choice";
    }

    @Override
    public String help() {
        return "choice of engines against round robin and least-request, one engine slow";
    }

    @Override
    public MeasurementResult run(long seed) {
        try (SharedFleet shared = SharedFleet.start(name(), seed)) {
            shared.fleet()
                    .processes()
                    .fault(shared.fleet().processes().engines().get(0).process(), "{\"slow\":3}");
            LoadSettings routed = shared.routed().withPrompts(PROMPTS, PROMPT_CHARACTERS);
            double capacity = shared.measureCapacity(routed);
            Map<String, Object> figures = new LinkedHashMap<>();
            figures.put("capacityRequestsPerSecond", capacity);
            Outcomes last = null;
            for (double load : LOADS) {
                last = measure(shared, routed.withRate(Shape.STEADY, load * capacity, DURATION));
                figures.put("at " + Math.round(100 * load) + "%", last);
            }
            return result(seed, figures, last);
        }
    }

    private Outcomes measure(SharedFleet shared, LoadSettings load) {
        LoadSettings direct = load.withTargets(shared.engineAddresses());
        One roundRobin = one(shared, direct.withChoice(TargetChoice.ROUND_ROBIN));
        One leastRequest = one(shared, direct.withChoice(TargetChoice.LEAST_REQUEST));
        return new Outcomes(one(shared, load), roundRobin, leastRequest);
    }

    private static One one(SharedFleet shared, LoadSettings load) {
        long before = hits(shared);
        LoadReport report = shared.run(load);
        pause(LOAD_REPORT_LAG);
        double share = (double) (hits(shared) - before) / report.all().planned();
        return new One(
                report.all().success(),
                report.all().firstToken().p50(),
                report.all().firstToken().p95(),
                share);
    }

    private static long hits(SharedFleet shared) {
        long hits = 0;
        for (FleetNode engine : shared.fleet().processes().engines()) {
            hits += shared.fleet()
                    .processes()
                    .calls()
                    .get(engine.http() + "/load")
                    .body()
                    .path("prefixHits")
                    .asLong();
        }
        return hits;
    }

    private MeasurementResult result(long seed, Map<String, Object> figures, Outcomes last) {
        double baseline = Math.min(
                last.roundRobin().firstTokenMillisP95(), last.leastRequest().firstTokenMillisP95());
        return new MeasurementResult(
                name(),
                seed,
                figures,
                List.of(
                        Bound.atMost(
                                "95th percentile to first token at 90% against the better baseline",
                                last.router().firstTokenMillisP95() / baseline, MOST_LATENCY_RATIO),
                        Bound.atLeast(
                                "prefix hits against round robin",
                                last.router().prefixHitShare()
                                        / last.roundRobin().prefixHitShare(),
                                LEAST_HIT_RATIO)));
    }

    private static void pause(Duration duration) {
        try {
            Thread.sleep(duration.toMillis());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private record One(double success, double firstTokenMillisP50, double firstTokenMillisP95, double prefixHitShare) {}

    private record Outcomes(One router, One roundRobin, One leastRequest) {}
}
