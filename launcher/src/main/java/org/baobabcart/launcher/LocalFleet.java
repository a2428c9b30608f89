package org.baobabcart.launcher;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.baobabcart.model.platform.VirtualMachine;

/**
 * Runs a complete fleet of stand-ins, upstreams and routers as processes on loopback. Closing the fleet kills every
 * process that it started. Not thread-safe.
 */
public final class LocalFleet implements AutoCloseable {
    private static final String HTTP = "http";
    private static final String PROXY = "proxy";

    private final FleetSettings settings;
    private final FleetProcesses processes;
    private final DefaultSheet defaultSheet;
    private final JsonCalls calls = JsonCalls.create();
    private final ObjectMapper mapper = new ObjectMapper();
    private final List<ManagedProcess> started = new ArrayList<>();
    private final Map<String, FleetNode> routers = new LinkedHashMap<>();
    private final Map<String, FleetNode> engines = new LinkedHashMap<>();
    private final Map<String, FleetNode> services = new LinkedHashMap<>();
    private final Map<String, ManagedProcess> platformProxies = new LinkedHashMap<>();
    private FleetNetwork network;
    private ManagedProcess platform;
    private ManagedProcess virtualMachines;
    private ManagedProcess ratings;
    private String platformUrl;
    private String virtualMachinesUrl;

    private LocalFleet(FleetSettings settings) {
        this.settings = settings;
        this.processes = new FleetProcesses(RepositoryRoot.find(), settings.name());
        this.defaultSheet = DefaultSheet.of(settings.seed(), settings.services());
    }

    /** Starts all processes and registers upstreams and routers in the list of VMs. */
    public static LocalFleet start(FleetSettings settings) {
        LocalFleet fleet = new LocalFleet(settings);
        try {
            fleet.startAll();
        } catch (RuntimeException exception) {
            fleet.close();
            throw exception;
        }
        return fleet;
    }

    /** Returns the platform stand-in. */
    public ManagedProcess platform() {
        return platform;
    }

    /** Returns the stand-in for the list of VMs. */
    public ManagedProcess virtualMachines() {
        return virtualMachines;
    }

    /** Returns the rating service stand-in. */
    public ManagedProcess ratings() {
        return ratings;
    }

    /** Returns the fault proxy between a data centre and the platform, or null if the settings do not use proxies. */
    public ManagedProcess platformProxy(String dataCentre) {
        return platformProxies.get(dataCentre);
    }

    /** Returns the simulated network between the data centres, or null if the settings do not use one. */
    public FleetNetwork network() {
        return network;
    }

    /** Returns the routers in start order. */
    public List<FleetNode> routers() {
        return List.copyOf(routers.values());
    }

    /** Returns the engines in start order. */
    public List<FleetNode> engines() {
        return List.copyOf(engines.values());
    }

    /** Returns the service upstreams in start order. */
    public List<FleetNode> services() {
        return List.copyOf(services.values());
    }

    /** Returns the fleet settings. */
    public FleetSettings settings() {
        return settings;
    }

    /** Returns the default sheet of this fleet with the workspace keys. */
    public DefaultSheet defaultSheet() {
        return defaultSheet;
    }

    /** Returns the HTTP client for the fleet's processes. */
    public JsonCalls calls() {
        return calls;
    }

    /** Publishes a sheet by conditional update and returns its generation. */
    public long publish(JsonNode sheet) {
        return new SheetPublisher(calls, platform.url(HTTP)).publish(sheet);
    }

    /** Sets the faults that a stand-in or proxy injects. */
    public void fault(ManagedProcess process, String faults) {
        calls.post(process.url(HTTP) + "/standin/faults", faults);
    }

    /** Returns the requests that an upstream started to run. */
    public JsonNode runs(FleetNode upstream) {
        return calls.get(upstream.http() + "/standin/runs").body();
    }

    /** Starts an additional router. */
    public FleetNode startRouter(String name, String dataCentre) {
        return launchAll(List.of(plannedRouter(name, dataCentre))).get(0);
    }

    /** Starts an additional engine. */
    public FleetNode startEngine(String name, String dataCentre, EngineSettings engine) {
        return launchAll(List.of(plannedEngine(name, dataCentre, engine))).get(0);
    }
    /** Starts a fault proxy for a port of this fleet; the proxy has the ports {@code http} for faults and {@code proxy}. */
    public ManagedProcess startProxy(String name, int targetPort) {
        return launch(processes.proxy(name, targetPort));
    }

    /** Creates or replaces an entry in the list of VMs. */
    public void putVirtualMachine(VirtualMachine machine) {
        calls.put(virtualMachines.url(HTTP) + "/vms/" + machine.name(), mapper.valueToTree(machine));
    }
    /** Returns a description of the fleet for external checks and load tools. */
    public JsonNode describe() {
        return FleetDescription.of(this);
    }

    @Override
    public void close() {
        started.forEach(ManagedProcess::close);
    }

    private void startAll() {
        List<ManagedProcess> standIns = ParallelStart.startAll(
                List.of(
                        processes.standIn("platform", "platform"),
                        processes.standIn("virtual-machines", "virtual-machines"),
                        processes.standIn("ratings", "ratings")),
                started);
        platform = standIns.get(0);
        virtualMachines = standIns.get(1);
        ratings = standIns.get(2);
        platformUrl = platform.url(HTTP);
        virtualMachinesUrl = virtualMachines.url(HTTP);
        if (settings.links() == FleetLinks.NETWORK) {
            startNetwork();
        }
        launchAll(
                settings.dataCentres().stream().flatMap(this::plannedUpstreams).toList());
        if (settings.links() == FleetLinks.PLATFORM_PROXIES) {
            settings.dataCentres().forEach(this::startPlatformProxy);
        }
        launchAll(settings.dataCentres().stream().flatMap(this::plannedRouters).toList());
    }

    private Stream<PlannedNode> plannedUpstreams(String dataCentre) {
        Stream<PlannedNode> plannedEngines = IntStream.range(0, settings.enginesPerDataCentre())
                .mapToObj(index -> plannedEngine(
                        "engine-" + dataCentre + "-" + (index + 1),
                        dataCentre,
                        settings.engines().get(index % settings.engines().size())));
        Stream<PlannedNode> plannedServices = settings.services().stream()
                .map(service -> plannedService(service + "-" + dataCentre + "-1", dataCentre, service));
        return Stream.concat(plannedEngines, plannedServices);
    }

    private Stream<PlannedNode> plannedRouters(String dataCentre) {
        return IntStream.rangeClosed(1, settings.routersPerDataCentre())
                .mapToObj(index -> plannedRouter("router-" + dataCentre + "-" + index, dataCentre));
    }

    private void startPlatformProxy(String dataCentre) {
        String name = "platform-proxy-" + dataCentre;
        platformProxies.put(dataCentre, startProxy(name, platform.port(HTTP)));
    }

    private void startNetwork() {
        ManagedProcess process = launch(processes.standIn("network", "network"));
        network = FleetNetwork.of(process, calls, settings.dataCentres());
        platformUrl = "http://" + openPlatformNode(platform);
        virtualMachinesUrl = "http://" + openPlatformNode(virtualMachines);
    }

    private String openPlatformNode(ManagedProcess process) {
        String address = network.open(process.name(), FleetNetwork.PLATFORM);
        network.setTarget(process.name(), process.port(HTTP));
        return address;
    }

    private String platformUrl(String dataCentre) {
        return settings.links() == FleetLinks.PLATFORM_PROXIES
                ? platformProxies.get(dataCentre).url(PROXY)
                : platformUrl;
    }

    private PlannedNode plannedRouter(String name, String dataCentre) {
        ProcessSettings process =
                processes.router(name, dataCentre, platformUrl(dataCentre), virtualMachinesUrl, ratings.url(HTTP));
        PlannedNode planned =
                new PlannedNode(process, routers, "peer", "", machine(name, VirtualMachine.Role.ROUTER, dataCentre));
        if (network == null) {
            return planned;
        }
        PlannedNode reachable = throughNetwork(planned);
        return reachable.withMoreArguments(List.of(
                "--advertised-peer",
                reachable.machine().address(),
                "--outgoing-address",
                network.outgoingAddress(dataCentre)));
    }

    private PlannedNode throughNetwork(PlannedNode planned) {
        VirtualMachine machine = planned.machine();
        return network == null
                ? planned
                : planned.withReachableAddress(network.open(machine.name(), machine.dataCentre()));
    }

    private PlannedNode plannedEngine(String name, String dataCentre, EngineSettings engine) {
        VirtualMachine machine = new VirtualMachine(
                        name,
                        VirtualMachine.Role.ENGINE,
                        dataCentre,
                        VirtualMachine.State.LIVE,
                        "",
                        engine.model(),
                        engine.version(),
                        "")
                .withChecksFencing(engine.checksFencing());
        ProcessSettings process = processes.engine(name, dataCentre, engine, virtualMachines.url(HTTP));
        return throughNetwork(new PlannedNode(process, engines, HTTP, "http://", machine));
    }

    private PlannedNode plannedService(String name, String dataCentre, String service) {
        VirtualMachine machine = new VirtualMachine(
                name, VirtualMachine.Role.SERVICE, dataCentre, VirtualMachine.State.LIVE, "", "", "", service);
        ProcessSettings process = processes.standIn("service", name, "--service", service);
        return throughNetwork(new PlannedNode(process, services, HTTP, "http://", machine));
    }

    private static VirtualMachine machine(String name, VirtualMachine.Role role, String dataCentre) {
        return new VirtualMachine(name, role, dataCentre, VirtualMachine.State.LIVE, "", "", "", "");
    }

    private ManagedProcess launch(ProcessSettings process) {
        return ParallelStart.startAll(List.of(process), started).get(0);
    }

    private List<FleetNode> launchAll(List<PlannedNode> planned) {
        List<ManagedProcess> launched = ParallelStart.startAll(
                planned.stream().map(PlannedNode::process).toList(), started);
        List<FleetNode> nodes = new ArrayList<>();
        for (int index = 0; index < planned.size(); index++) {
            nodes.add(register(planned.get(index), launched.get(index)));
        }
        return nodes;
    }

    private FleetNode register(PlannedNode planned, ManagedProcess process) {
        FleetNode node = planned.toNode(process);
        if (network != null) {
            network.setTarget(node.name(), process.port(planned.addressPort()));
        }
        planned.nodes().put(node.name(), node);
        putVirtualMachine(node.machine());
        return node;
    }
}
