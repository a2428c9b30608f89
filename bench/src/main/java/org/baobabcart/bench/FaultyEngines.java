package org.baobabcart.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.launcher.LocalFleet;
import org.baobabcart.model.result.BaobabcartException;

/**
 * The engines of a version that turns bad. Those that crash are started again with the fault, as a platform does, on a
 * thread of this object.
 */
final class FaultyEngines implements AutoCloseable {
    private static final long CHECK_MILLIS = 50;
    private static final String CRASHED = "CRASHED runs=";

    private final LocalFleet fleet;
    private final List<FleetNode> engines;
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
    private volatile String faults = "";
    private int runsBefore;

    private FaultyEngines(LocalFleet fleet, List<FleetNode> engines) {
        this.fleet = fleet;
        this.engines = engines;
    }

    /** The engines of one version, which work well so far. */
    static FaultyEngines of(LocalFleet fleet, String version) {
        List<FleetNode> engines = fleet.engines().stream()
                .filter(engine -> engine.machine().version().equals(version))
                .toList();
        return new FaultyEngines(fleet, engines);
    }

    /** Sets the fault at all of them, and begins to start crashed ones again. */
    void turnBad(VersionFault fault) {
        runsBefore = engines.stream().mapToInt(this::runs).sum();
        faults = fault.faults();
        engines.forEach(this::setFaults);
        executor.scheduleWithFixedDelay(this::restartCrashed, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** The requests that they began since they turned bad; no restart follows. */
    int exposures() {
        stopRestarts();
        int runs = 0;
        for (FleetNode engine : engines) {
            runs += crashedRuns(engine) + (engine.process().isAlive() ? runs(engine) : 0);
        }
        return runs - runsBefore;
    }

    @Override
    public void close() {
        stopRestarts();
    }

    private void stopRestarts() {
        executor.shutdown();
        try {
            executor.awaitTermination(1, TimeUnit.MINUTES);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void restartCrashed() {
        for (FleetNode engine : engines) {
            if (!engine.process().isAlive()) {
                try {
                    engine.process().restart();
                    setFaults(engine);
                } catch (BaobabcartException exception) {
                    System.err.println("restart of " + engine.name() + " failed: " + exception.getMessage());
                }
            }
        }
    }

    private void setFaults(FleetNode engine) {
        fleet.fault(engine.process(), faults);
    }

    private int runs(FleetNode engine) {
        return fleet.runs(engine).size();
    }

    private static int crashedRuns(FleetNode engine) {
        try {
            return Files.readAllLines(engine.process().logFile()).stream()
                    .filter(line -> line.startsWith(CRASHED))
                    .mapToInt(line -> Integer.parseInt(line.substring(CRASHED.length())))
                    .sum();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
