package org.baobabcart.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.baobabcart.load.GroupReport;
import org.baobabcart.load.LoadReport;
import org.baobabcart.load.LoadSettings;
import org.baobabcart.load.LoadWorkspace;
import org.baobabcart.load.Outcome;
import org.baobabcart.load.Shape;
import org.baobabcart.load.TargetChoice;

/** Two of ten workspaces ask for twenty times their share; the others ask for half of theirs. */
final class SmallCallersMeasurement implements Measurement {
    private static final int LARGE = 2;
    private static final double LARGE_SHARE = 20;
    private static final double SMALL_SHARE = 0.5;
    private static final double TOLERANCE = 0.1;
    private static final Duration DURATION = Duration.ofSeconds(20);
    private static final Duration PATIENCE = Duration.ofSeconds(10);

    @Override
    public String name() {
        return "small-callers";
    }

    @Override
    public String help() {
        return "small workspaces beside two that ask for 20x their share, against no fairness";
    }

    @Override
    public MeasurementResult run(long seed) {
        try (SharedFleet shared = SharedFleet.start(name(), seed)) {
            LoadSettings routed = shared.routed().withRetriesAndTimeout(0, PATIENCE);
            double capacity = shared.measureCapacity(routed);
            double share = capacity / shared.workspaces().size();
            Small alone = run(shared, routed, small(shared), share);
            Small beside = run(shared, routed, all(shared), share);
            LoadSettings direct = shared.direct(TargetChoice.LEAST_REQUEST).withRetriesAndTimeout(0, PATIENCE);
            Small baseline = run(shared, direct, all(shared), share);
            Map<String, Object> figures = new LinkedHashMap<>();
            figures.put("capacityRequestsPerSecond", capacity);
            figures.put("smallAlone", alone);
            figures.put("smallBesideLarge", beside);
            figures.put("smallBesideLargeBaseline", baseline);
            return new MeasurementResult(
                    name(),
                    seed,
                    figures,
                    List.of(
                            Bound.atLeast(
                                    "success of small workspaces against the run without the large ones",
                                    beside.success() / alone.success(),
                                    1 - TOLERANCE),
                            Bound.atMost(
                                    "95th percentile to first token against the run without the large ones",
                                    beside.firstTokenMillisP95() / alone.firstTokenMillisP95(),
                                    1 + TOLERANCE)));
        }
    }

    private static List<LoadWorkspace> small(SharedFleet shared) {
        return shared.workspaces().stream()
                .skip(LARGE)
                .map(entry -> new LoadWorkspace(entry.name(), entry.key(), SMALL_SHARE))
                .toList();
    }

    private static List<LoadWorkspace> all(SharedFleet shared) {
        List<LoadWorkspace> all = new ArrayList<>(small(shared));
        shared.workspaces().stream()
                .limit(LARGE)
                .map(entry -> new LoadWorkspace(entry.name(), entry.key(), LARGE_SHARE))
                .forEach(all::add);
        return all;
    }

    private static Small run(SharedFleet shared, LoadSettings load, List<LoadWorkspace> workspaces, double share) {
        double rate =
                share * workspaces.stream().mapToDouble(LoadWorkspace::share).sum();
        LoadReport report = shared.run(load.withWorkspaces(workspaces).withRate(Shape.STEADY, rate, DURATION));
        List<GroupReport> groups = small(shared).stream()
                .map(workspace -> report.workspaces().get(workspace.name()))
                .toList();
        double planned = groups.stream().mapToLong(GroupReport::planned).sum();
        double complete = groups.stream()
                .mapToLong(group -> group.count(Outcome.COMPLETE))
                .sum();
        double worst = groups.stream()
                .mapToDouble(group -> group.firstToken().p95())
                .max()
                .orElse(0);
        double mean = groups.stream()
                .mapToDouble(group -> group.firstToken().p95())
                .average()
                .orElse(0);
        return new Small(complete / planned, mean, worst, report.goodput());
    }

    private record Small(
            double success, double firstTokenMillisP95, double worstFirstTokenMillisP95, double goodputOfAll) {}
}
