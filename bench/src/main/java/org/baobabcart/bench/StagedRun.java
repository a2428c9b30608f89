package org.baobabcart.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.baobabcart.launcher.EngineSettings;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.launcher.FleetSettings;
import org.baobabcart.launcher.LocalFleet;
import org.baobabcart.load.LoadGenerator;
import org.baobabcart.load.LoadReport;
import org.baobabcart.load.LoadSettings;
import org.baobabcart.load.Outcome;
import org.baobabcart.load.Shape;

/**
 * One move of work to a version that turns bad at the first stage, on a fleet of its own, and the loss of one router a
 * second later. The same load goes to it whether evidence or the clock alone moves the stages. Used by one thread.
 */
final class StagedRun implements AutoCloseable {
    private static final double RATE = 50;
    private static final int SLOTS = 8;
    private static final double TOKEN_MILLIS = 4;
    private static final int ENGINES_PER_DATA_CENTRE = 3;
    private static final int ROUTERS_PER_DATA_CENTRE = 2;
    private static final Duration WARM_UP = Duration.ofSeconds(4);
    private static final Duration GOOD = Duration.ofSeconds(4);
    private static final Duration UNTIL_KILL = Duration.ofSeconds(1);
    private static final Duration WHOLE = Duration.ofSeconds(StagedSheets.STAGE_SECONDS * StagedSheets.SHARES.size());
    private static final Duration PATIENCE = Duration.ofSeconds(10);
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final long POLL_MILLIS = 50;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NOT_STOPPED = -1;
    private static final String ROLL_OUTS = "/apis/baobabcart/v1/rollouts/current";

    private final VersionFault fault;
    private final BenchFleet bench;
    private final LocalFleet fleet;
    private final FaultyEngines engines;
    private final long seed;

    private StagedRun(VersionFault fault, BenchFleet bench, long seed) {
        this.fault = fault;
        this.bench = bench;
        this.fleet = bench.processes();
        this.engines = FaultyEngines.of(fleet, StagedSheets.NEW);
        this.seed = seed;
    }

    /**
     * What came of it. Immutable.
     *
     * @param exposures requests that engines of the new version began after it had turned bad, and those refused since
     *     no engine of it could take them; the old version has room for all
     * @param begunByEngines the first part of the exposures
     * @param secondsToStop from the turn until the stop was in force at each router; -1 where it never was
     * @param planned requests that callers sent
     * @param lost requests without a whole answer
     * @param lostAtKilledRouter the lost ones of those sent to the router that was killed
     * @param codes what became of the lost ones
     */
    record Result(
            long exposures,
            int begunByEngines,
            double secondsToStop,
            long planned,
            long lost,
            long lostAtKilledRouter,
            Map<String, Long> codes) {}

    /** A fleet whose first-stage share goes to the new version once the move begins. */
    static StagedRun start(String name, VersionFault fault, long seed) {
        FleetSettings settings = FleetSettings.defaults()
                .withName(name + "-" + seed + "-" + System.nanoTime())
                .withRoutersPerDataCentre(ROUTERS_PER_DATA_CENTRE)
                .withEngines(ENGINES_PER_DATA_CENTRE, List.of(engine("v1"), engine("v1"), engine("v2")))
                .withServices("orders")
                .withSeed(seed);
        return new StagedRun(fault, BenchFleet.start(settings), seed);
    }

    /** Stages moved by the routers; the one that controls them is killed. */
    Result byEvidence() {
        warmUp();
        fleet.publish(StagedSheets.withRollOut(fleet));
        long deadline = System.nanoTime() + START_TIMEOUT.toNanos();
        while (!status().equals("RUNNING") && System.nanoTime() < deadline) {
            pause(POLL_MILLIS);
        }
        String controller = progress().path("controller").asText();
        FleetNode killed = fleet.routers().stream()
                .filter(router -> controller.startsWith(router.name() + "#"))
                .findFirst()
                .orElseThrow();
        return run(killed, origin -> {});
    }

    /** Stages moved by the clock alone; one router is killed at the same moment. */
    Result byClock() {
        warmUp();
        fleet.publish(StagedSheets.withShare(fleet, StagedSheets.SHARES.get(0)));
        return run(fleet.routers().get(0), this::moveByClock);
    }

    @Override
    public void close() {
        engines.close();
        bench.close();
    }

    /** Work for the old version alone, so that no start of a process counts as a loss by the new one. */
    private void warmUp() {
        try (LoadGenerator warm = LoadGenerator.create()) {
            warm.run(LoadSettings.of(bench.callerAddresses(), bench.workspaces(), StagedSheets.MODEL)
                    .withRetriesAndTimeout(0, PATIENCE)
                    .withRate(Shape.STEADY, RATE, WARM_UP));
        }
    }

    private Result run(FleetNode killed, LongConsumer stages) {
        List<FleetNode> others =
                fleet.routers().stream().filter(router -> router != killed).toList();
        double perRouter = RATE / fleet.routers().size();
        LoadSettings load = LoadSettings.of(List.of(), bench.workspaces(), StagedSheets.MODEL)
                .withRetriesAndTimeout(0, PATIENCE)
                .withSeed(seed);
        long origin = System.nanoTime();
        CompletableFuture<LoadReport> first =
                start(load.withTargets(List.of(killed.caller())), perRouter, GOOD.plus(UNTIL_KILL));
        CompletableFuture<LoadReport> rest = start(
                load.withTargets(others.stream().map(FleetNode::caller).toList()), perRouter * others.size(), WHOLE);
        CompletableFuture<Void> clock = CompletableFuture.runAsync(() -> stages.accept(origin));
        pauseUntil(origin, GOOD);
        long bad = System.nanoTime();
        engines.turnBad(fault);
        pauseUntil(origin, GOOD.plus(UNTIL_KILL));
        killed.process().kill();
        CompletableFuture<LoadReport> moved = CompletableFuture.supplyAsync(() -> {
            try (LoadGenerator other = LoadGenerator.create()) {
                return other.run(load.withTargets(
                                others.stream().map(FleetNode::caller).toList())
                        .withSeed(seed + 1)
                        .withRate(Shape.STEADY, perRouter, WHOLE.minus(GOOD).minus(UNTIL_KILL)));
            }
        });
        double seconds = awaitStop(others, bad, origin + WHOLE.toNanos());
        clock.join();
        return result(seconds, first.join(), List.of(rest.join(), moved.join()));
    }

    private Result result(double seconds, LoadReport killed, List<LoadReport> others) {
        Map<String, Long> codes = new TreeMap<>(killed.all().codes());
        long planned = killed.all().planned();
        long lostThere = lost(killed);
        long lost = lostThere;
        long refused = 0;
        for (LoadReport report : others) {
            planned += report.all().planned();
            lost += lost(report);
            refused += report.all().count(Outcome.REFUSED);
            report.all().codes().forEach((code, count) -> codes.merge(code, count, Long::sum));
        }
        int begun = engines.exposures();
        return new Result(begun + refused, begun, seconds, planned, lost, lostThere, codes);
    }

    private static long lost(LoadReport report) {
        return report.all().planned() - report.all().count(Outcome.COMPLETE);
    }

    private CompletableFuture<LoadReport> start(LoadSettings load, double rate, Duration duration) {
        return CompletableFuture.supplyAsync(() -> {
            try (LoadGenerator own = LoadGenerator.create()) {
                return own.run(load.withRate(Shape.STEADY, rate, duration));
            }
        });
    }

    private void moveByClock(long origin) {
        for (int stage = 1; stage < StagedSheets.SHARES.size(); stage++) {
            pauseUntil(origin, Duration.ofSeconds(stage * StagedSheets.STAGE_SECONDS));
            fleet.publish(StagedSheets.withShare(fleet, StagedSheets.SHARES.get(stage)));
        }
    }

    private double awaitStop(List<FleetNode> routers, long since, long deadline) {
        while (System.nanoTime() < deadline) {
            if (status().equals("STOPPED") && routers.stream().allMatch(this::holdsStored)) {
                return (System.nanoTime() - since) / NANOS_PER_SECOND;
            }
            pause(POLL_MILLIS);
        }
        return NOT_STOPPED;
    }

    private boolean holdsStored(FleetNode router) {
        JsonNode known = fleet.calls().get(router.admin() + "/status").body().path("rollOuts");
        return known.path("generation").asLong() >= stored().path("generation").asLong();
    }

    private String status() {
        return progress().path("status").asText();
    }

    private JsonNode progress() {
        return stored().path("progress").path(0);
    }

    private JsonNode stored() {
        return fleet.calls()
                .get(fleet.platform().url("http") + ROLL_OUTS)
                .body()
                .path("spec");
    }

    private static EngineSettings engine(String version) {
        return EngineSettings.large(version).withCapacity(SLOTS, TOKEN_MILLIS);
    }

    private static void pauseUntil(long origin, Duration offset) {
        long left = origin + offset.toNanos() - System.nanoTime();
        pause(Math.max(0, TimeUnit.NANOSECONDS.toMillis(left)));
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
