package org.baobabcart.cli.demo;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baobabcart.cli.CommandContext;
import org.baobabcart.cli.command.DocumentChanges;
import org.baobabcart.cli.command.PlatformObjects;
import org.baobabcart.cli.fleet.ChangePropagation;
import org.baobabcart.cli.fleet.FleetFinder;
import org.baobabcart.cli.fleet.FleetRouter;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.launcher.EngineSettings;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.launcher.FleetSettings;
import org.baobabcart.launcher.LocalFleet;
import org.baobabcart.model.platform.FleetEndpoints;
import org.baobabcart.model.platform.ObjectKinds;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.router.platform.ObjectStore;

/** Fleet of the demo with a published sheet. Not thread-safe. Closing the fleet stops all processes. */
final class DemoFleet implements AutoCloseable {
    private static final Duration SHEET_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(20);
    private static final String HTTP = "http";

    private final LocalFleet fleet;
    private final CommandContext context;
    private final ObjectStore store;
    private final Vertx vertx = Vertx.vertx();

    private DemoFleet(LocalFleet fleet, CommandContext context) {
        this.fleet = fleet;
        this.context = context;
        this.store = context.stores().apply(fleet.platform().url(HTTP));
    }

    /**
     * Starts all processes, publishes the sheet and waits until every router has applied it and knows all upstreams.
     */
    static DemoFleet start(DemoSettings settings, CommandContext context) {
        DemoFleet demo = new DemoFleet(LocalFleet.start(fleetSettings(settings)), context);
        try {
            demo.startEngines(settings);
            demo.writeEndpoints();
            demo.publish();
        } catch (RuntimeException exception) {
            demo.close();
            throw exception;
        }
        return demo;
    }

    LocalFleet processes() {
        return fleet;
    }

    ObjectStore store() {
        return store;
    }

    CommandContext context() {
        return context;
    }

    /** Returns all started routers, including killed ones. */
    List<FleetNode> routers() {
        return fleet.routers();
    }

    /** Returns a caller of the workspace with an index. */
    DemoCaller caller(int workspace) {
        return DemoCaller.create(
                vertx, fleet.defaultSheet().workspaces().get(workspace).key());
    }

    /** Writes the description of the fleet to a file atomically. */
    void describe(Path file) {
        try {
            Path absolute = file.toAbsolutePath();
            Path temporary = absolute.resolveSibling(absolute.getFileName() + ".unfinished");
            Files.writeString(temporary, fleet.describe().toPrettyString());
            Files.move(temporary, absolute, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException exception) {
            throw BaobabcartException.of(ResultCode.BAD_SETTING, "the file cannot be written: " + exception)
                    .withLocation(DemoSettings.DESCRIBE.name())
                    .withCause(exception);
        }
    }

    /** Stops all live routers and returns their exit codes by name. */
    Map<String, Integer> stopRouters() {
        List<FleetNode> live =
                routers().stream().filter(router -> router.process().isAlive()).toList();
        live.forEach(router -> router.process().requestStop());
        Map<String, Integer> codes = new HashMap<>();
        live.forEach(router -> codes.put(router.name(), router.process().awaitExit(STOP_TIMEOUT)));
        return codes;
    }

    @Override
    public void close() {
        fleet.close();
        vertx.close();
    }

    private static FleetSettings fleetSettings(DemoSettings settings) {
        return FleetSettings.defaults()
                .withName("demo-" + ProcessHandle.current().pid())
                .withDataCentres(settings.dataCentres().toArray(String[]::new))
                .withRoutersPerDataCentre(settings.routersPerDataCentre())
                .withEngines(0, FleetSettings.defaults().engines())
                .withSeed(settings.seed());
    }

    private void startEngines(DemoSettings settings) {
        List<EngineSettings> kinds = FleetSettings.defaults().engines();
        int dataCentres = settings.dataCentres().size();
        for (int index = 0; index < settings.engines(); index++) {
            String dataCentre = settings.dataCentres().get(index % dataCentres);
            int turn = index / dataCentres;
            fleet.startEngine("engine-" + dataCentre + "-" + (turn + 1), dataCentre, kinds.get(turn % kinds.size()));
        }
    }

    private void writeEndpoints() {
        List<String> admins = routers().stream()
                .map(router -> "127.0.0.1:" + router.process().port("admin"))
                .toList();
        FleetEndpoints endpoints = new FleetEndpoints(fleet.virtualMachines().url(HTTP), admins);
        PlatformObjects.await(store.create(
                StoredObject.create(ObjectKinds.ENDPOINTS, ObjectKinds.CURRENT, PlatformObjects.toJson(endpoints))));
    }

    private void publish() {
        PublishedSheet published =
                DocumentChanges.in(store).publish(fleet.defaultSheet().sheet(), "demo");
        FleetFinder finder = FleetFinder.create(context.admin(), store, Arguments.of(Map.of(), Map.of()));
        int upstreams = fleet.engines().size() + fleet.services().size();
        List<FleetRouter> pending = ChangePropagation.create(finder, context.clock())
                .await(
                        status -> status.ready()
                                && status.sheet().generation() >= published.generation()
                                && status.upstreams().size() >= upstreams,
                        SHEET_TIMEOUT,
                        progress -> {});
        if (!pending.isEmpty()) {
            throw BaobabcartException.of(
                    ResultCode.COMMAND_TIMEOUT,
                    "the sheet has not been applied by "
                            + pending.stream().map(FleetRouter::name).toList());
        }
    }
}
