package org.baobabcart.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.baobabcart.load.GroupReport;
import org.baobabcart.load.LoadReport;
import org.baobabcart.load.LoadSettings;
import org.baobabcart.load.Outcome;
import org.baobabcart.load.RankShare;
import org.baobabcart.load.Shape;
import org.baobabcart.load.TargetChoice;

/** The least urgent rank at four times the capacity, then the most urgent at one and a half times. */
final class RankFloodMeasurement implements Measurement {
    private static final long URGENT_TARGET_MILLIS = 800;
    private static final double NORMAL_FLOOR = 0.1;
    private static final double BATCH_FLOOR = 0.05;
    private static final double LEAST_IN_TARGET = 0.99;
    private static final double LEAST_GOODPUT = 0.9;
    private static final RankShare URGENT = new RankShare("urgent", 0.1);
    private static final List<RankShare> FIRST = List.of(URGENT, new RankShare("batch", 4));
    private static final List<RankShare> SECOND =
            List.of(new RankShare("urgent", 1.5), new RankShare("normal", 0.3), new RankShare("batch", 0.3));
    private static final Duration DURATION = Duration.ofSeconds(20);
    private static final Duration PATIENCE = Duration.ofSeconds(10);

    @Override
    public String name() {
        return "rank-flood";
    }

    @Override
    public String help() {
        return "floods of the least and then of the most urgent rank against one first-come queue";
    }

    @Override
    public MeasurementResult run(long seed) {
        try (SharedFleet shared = SharedFleet.start(name(), seed)) {
            LoadSettings routed = shared.routed();
            double capacity = shared.measureCapacity(routed);
            LoadSettings load = routed.withRetriesAndTimeout(0, PATIENCE);
            LoadSettings baseline = shared.direct(TargetChoice.LEAST_REQUEST).withRetriesAndTimeout(0, PATIENCE);
            LoadReport first = shared.run(flood(load, FIRST, capacity));
            LoadReport second = shared.run(flood(load, SECOND, capacity));
            LoadReport firstBaseline = shared.run(flood(baseline, FIRST, capacity));
            LoadReport secondBaseline = shared.run(flood(baseline, SECOND, capacity));
            Map<String, Object> figures = new LinkedHashMap<>();
            figures.put("capacityRequestsPerSecond", capacity);
            figures.put("leastUrgentFlood", ranks(first));
            figures.put("leastUrgentFloodBaseline", ranks(firstBaseline));
            figures.put("mostUrgentFlood", ranks(second));
            figures.put("mostUrgentFloodBaseline", ranks(secondBaseline));
            return new MeasurementResult(name(), seed, figures, bounds(capacity, first, second));
        }
    }

    private static LoadSettings flood(LoadSettings load, List<RankShare> ranks, double capacity) {
        double times = ranks.stream().mapToDouble(RankShare::share).sum();
        return load.withRanks(ranks).withRate(Shape.STEADY, times * capacity, DURATION);
    }

    private static List<Bound> bounds(double capacity, LoadReport first, LoadReport second) {
        List<Bound> bounds = new ArrayList<>();
        bounds.add(Bound.atLeast(
                "share of urgent work within its target in the first flood",
                withinTarget(first.ranks().get("urgent")),
                LEAST_IN_TARGET));
        bounds.add(Bound.atLeast(
                "normal work in the second flood, share of capacity", rate(second, "normal") / capacity, NORMAL_FLOOR));
        bounds.add(Bound.atLeast(
                "batch work in the second flood, share of capacity", rate(second, "batch") / capacity, BATCH_FLOOR));
        bounds.add(Bound.atLeast(
                "goodput in the first flood, share of capacity", first.goodput() / capacity, LEAST_GOODPUT));
        bounds.add(Bound.atLeast(
                "goodput in the second flood, share of capacity", second.goodput() / capacity, LEAST_GOODPUT));
        return bounds;
    }

    /** The share of planned requests whose first token came within the rank's target. */
    private static double withinTarget(GroupReport urgent) {
        double inTime = urgent.firstToken().within().get(URGENT_TARGET_MILLIS);
        return inTime / urgent.planned();
    }

    private static double rate(LoadReport report, String rank) {
        return report.ranks().get(rank).count(Outcome.COMPLETE) / report.seconds();
    }

    private static Map<String, Object> ranks(LoadReport report) {
        Map<String, Object> ranks = new LinkedHashMap<>();
        report.ranks()
                .forEach((rank, group) -> ranks.put(
                        rank,
                        new RankFigures(
                                group.success(),
                                rate(report, rank),
                                group.firstToken().p50(),
                                group.firstToken().p95(),
                                group.firstToken().p99(),
                                group.codes())));
        ranks.put("goodput", report.goodput());
        return ranks;
    }

    private record RankFigures(
            double success,
            double answeredPerSecond,
            double firstTokenMillisP50,
            double firstTokenMillisP95,
            double firstTokenMillisP99,
            Map<String, Long> codes) {}
}
