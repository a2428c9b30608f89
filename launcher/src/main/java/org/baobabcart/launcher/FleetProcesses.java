package org.baobabcart.launcher;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Creates the process settings of a local fleet. Immutable. */
final class FleetProcesses {
    private static final String STAND_IN_MAIN = "org.baobabcart.standins.StandInMain";
    private static final String ROUTER_MAIN = "org.baobabcart.router.RouterMain";
    private static final List<String> STAND_IN_FLAGS =
            List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto");
    private static final List<String> ROUTER_FLAGS = List.of("-Xmx192m", "-XX:+UseSerialGC", "-Xshare:auto");

    private final Path root;
    private final Path logs;

    FleetProcesses(Path root, String fleetName) {
        this.root = root;
        this.logs = Path.of("target", "fleets", fleetName).toAbsolutePath();
    }

    /** Returns the settings of a stand-in of the given kind. */
    ProcessSettings standIn(String kind, String name, String... arguments) {
        List<String> all = new ArrayList<>(List.of(kind, "--name", name));
        all.addAll(List.of(arguments));
        return new ProcessSettings(
                name,
                RepositoryRoot.classPath(root, "standins"),
                STAND_IN_MAIN,
                STAND_IN_FLAGS,
                all,
                Map.of("http", "--port"),
                Map.of(),
                logs);
    }

    /** Returns the settings of a fault proxy that forwards to a loopback port. */
    ProcessSettings proxy(String name, int targetPort) {
        ProcessSettings standIn = standIn("fault-proxy", name, "--target", "127.0.0.1:" + targetPort);
        return new ProcessSettings(
                name,
                standIn.classPath(),
                standIn.mainClass(),
                standIn.virtualMachineFlags(),
                standIn.arguments(),
                Map.of("http", "--port", "proxy", "--proxy-port"),
                Map.of(),
                logs);
    }

    /** Returns the settings of an engine that uses the given list of VMs. */
    ProcessSettings engine(String name, String dataCentre, EngineSettings engine, String machines) {
        List<String> arguments = new ArrayList<>(List.of(
                "--data-centre",
                dataCentre,
                "--model",
                engine.model(),
                "--version",
                engine.version(),
                "--slots",
                Integer.toString(engine.slots()),
                "--token-millis",
                Double.toString(engine.tokenMillis()),
                "--quality",
                Double.toString(engine.quality()),
                "--load-millis",
                Long.toString(engine.loadMillis()),
                "--virtual-machines",
                machines));
        if (!engine.checksFencing()) {
            arguments.add("--ignore-fencing");
        }
        return standIn("engine", name, arguments.toArray(String[]::new));
    }

    /** Returns the settings of a router. */
    ProcessSettings router(String name, String dataCentre, String platform, String machines, String ratings) {
        List<String> arguments = List.of(
                "--name",
                name,
                "--data-centre",
                dataCentre,
                "--listen-address",
                "127.0.0.1",
                "--platform",
                platform,
                "--virtual-machines",
                machines,
                "--ratings",
                ratings);
        return new ProcessSettings(
                name,
                RepositoryRoot.classPath(root, "router"),
                ROUTER_MAIN,
                ROUTER_FLAGS,
                arguments,
                Map.of("caller", "--caller-port", "admin", "--admin-port", "peer", "--peer-port"),
                Map.of(),
                logs);
    }
}
