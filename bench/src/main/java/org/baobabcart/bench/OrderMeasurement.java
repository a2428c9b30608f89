package org.baobabcart.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.baobabcart.launcher.EngineSettings;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.launcher.FleetSettings;
import org.baobabcart.launcher.LocalFleet;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.sheet.Placement;
import org.baobabcart.model.sheet.SheetReader;

/** From a sheet with other placements to engines that serve them, from a dead holder to the next, and calls on the way. */
final class OrderMeasurement implements Measurement {
    private static final String DATA_CENTRE = "a";
    private static final String MODEL = "layout-large";
    private static final int ENGINES = 4;
    private static final long LOAD_MILLIS = 2_000;
    private static final Duration PATIENCE = Duration.ofSeconds(120);
    private static final Duration CALLS_WINDOW = Duration.ofSeconds(30);
    private static final long POLL_MILLIS = 50;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MOST_SECONDS = 18;
    private static final int DATA_CENTRES_AT_TARGET = 10;
    private static final double MOST_WRITES_AT_TARGET = 10;
    private static final double MOST_READS_AT_TARGET = 20;
    private static final double MOST_LOOK_MILLIS = 17;

    @Override
    public String name() {
        return "orders";
    }

    @Override
    public String help() {
        return "time from new placements to serving, to a new holder after a kill, and platform calls";
    }

    @Override
    public MeasurementResult run(long seed) {
        FleetSettings settings = FleetSettings.defaults()
                .withName(name())
                .withSeed(seed)
                .withDataCentres(DATA_CENTRE)
                .withRoutersPerDataCentre(2)
                .withServices()
                .withEngines(
                        ENGINES,
                        List.of(
                                EngineSettings.large("v1").withOrderHandling(LOAD_MILLIS, true),
                                EngineSettings.large("v1").withOrderHandling(LOAD_MILLIS, false)));
        try (BenchFleet bench = BenchFleet.start(settings)) {
            return measure(bench.processes(), seed);
        }
    }

    private static MeasurementResult measure(LocalFleet fleet, long seed) {
        double first = seconds(() -> want(fleet, ENGINES, 0), () -> holders(fleet) == 1);
        double moved = seconds(() -> want(fleet, ENGINES / 2, ENGINES / 2), () -> serving(fleet, "v2") == ENGINES / 2);
        double writesBefore = counter(fleet, "orders.lease-writes");
        double readsBefore = counter(fleet, "orders.lease-reads");
        pause(CALLS_WINDOW.toMillis());
        double writes = (counter(fleet, "orders.lease-writes") - writesBefore) / CALLS_WINDOW.toSeconds();
        double reads = (counter(fleet, "orders.lease-reads") - readsBefore) / CALLS_WINDOW.toSeconds();
        FleetNode holder = fleet.routers().stream()
                .filter(OrderMeasurement::isAlive)
                .filter(router -> isHolder(fleet, router))
                .findFirst()
                .orElseThrow();
        double killed = seconds(() -> holder.process().kill(), () -> holders(fleet) == 1);
        double movedAfter = seconds(() -> want(fleet, ENGINES, 0), () -> serving(fleet, "v1") == ENGINES);
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("loadSeconds", LOAD_MILLIS / 1_000.0);
        figures.put("secondsToFirstHolder", first);
        figures.put("secondsFromSheetToServing", moved);
        figures.put("secondsFromKillToNextHolder", killed);
        figures.put("secondsFromSheetToServingAfterKill", movedAfter);
        figures.put("platformWritesPerSecond", writes);
        figures.put("platformReadsPerSecond", reads);
        double lookMillis = PlacementCost.milliseconds();
        figures.put("processorMillisecondsForEachLookAtTarget", lookMillis);
        double loadSeconds = LOAD_MILLIS / 1_000.0;
        return new MeasurementResult(
                "orders",
                seed,
                figures,
                List.of(
                        Bound.atMost("seconds from sheet to serving, loads apart", moved - loadSeconds, MOST_SECONDS),
                        Bound.atMost("seconds from kill to next holder", killed, MOST_SECONDS),
                        Bound.atMost(
                                "writes a second in ten data centres",
                                writes * DATA_CENTRES_AT_TARGET,
                                MOST_WRITES_AT_TARGET),
                        Bound.atMost(
                                "reads a second in ten data centres",
                                reads * DATA_CENTRES_AT_TARGET,
                                MOST_READS_AT_TARGET),
                        Bound.atMost(
                                "processor milliseconds for each look, once a second", lookMillis, MOST_LOOK_MILLIS)));
    }

    private static double seconds(Runnable action, BooleanSupplier condition) {
        long begin = System.nanoTime();
        action.run();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - begin > PATIENCE.toNanos()) {
                throw BaobabcartException.of(ResultCode.COMMAND_TIMEOUT, "what is measured did not come about");
            }
            pause(POLL_MILLIS);
        }
        return (System.nanoTime() - begin) / NANOS_PER_SECOND;
    }

    private static void want(LocalFleet fleet, int first, int second) {
        List<Placement> placements = List.of(
                new Placement(DATA_CENTRE, MODEL, "v1", first), new Placement(DATA_CENTRE, MODEL, "v2", second));
        fleet.publish(SheetReader.create().write(fleet.defaultSheet().sheet().withPlacements(placements)));
    }

    private static long holders(LocalFleet fleet) {
        return fleet.routers().stream()
                .filter(OrderMeasurement::isAlive)
                .filter(router -> isHolder(fleet, router))
                .count();
    }

    private static boolean isAlive(FleetNode router) {
        return router.process().isAlive();
    }

    private static boolean isHolder(LocalFleet fleet, FleetNode router) {
        JsonNode status = fleet.calls().get(router.admin() + "/status").body();
        return status.path("orders").path("fencing").asLong() > 0;
    }

    private static long serving(LocalFleet fleet, String version) {
        JsonNode list =
                fleet.calls().get(fleet.virtualMachines().url("http") + "/vms").body();
        return list.findValues("version").stream()
                .filter(value -> value.asText().equals(version))
                .count();
    }

    private static double counter(LocalFleet fleet, String name) {
        double sum = 0;
        for (FleetNode router : fleet.routers()) {
            JsonNode metrics =
                    fleet.calls().get(router.admin() + "/metrics?format=json").body();
            sum += metrics.path("counters").path(name).path("count").asDouble();
        }
        return sum;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw BaobabcartException.of(ResultCode.COMMAND_TIMEOUT, "interrupted")
                    .withCause(exception);
        }
    }
}
