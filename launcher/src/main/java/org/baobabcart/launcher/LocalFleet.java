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
 * A whole fleet of real processes on loopback: stand-ins, upstreams and routers. Not thread-safe; ending it ends every
 * process that it started.
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

    /** The platform stand-in. */
    public ManagedProcess platform() {
        return platform;
    }

    /** The stand-in for the list of VMs. */
    public ManagedProcess virtualMachines() {
        return virtualMachines;
    }

    /** The rating service stand-in. */
    public ManagedProcess ratings() {
        return ratings;
    }

    /** The fault proxy by which a data centre reaches the platform, where the settings ask for them. */
    public ManagedProcess platformProxy(String dataCentre) {
        return platformProxies.get(dataCentre);
    }

    /** The network between the data centres, where the settings ask for one. */
    public FleetNetwork network() {
        return network;
    }

    /** The routers in the order of their start. */
    public List<FleetNode> routers() {
        return List.copyOf(routers.values());
    }

    /** The engines in the order of their start. */
    public List<FleetNode> engines() {
        return List.copyOf(engines.values());
    }

    /** The plain services in the order of their start. */
    public List<FleetNode> services() {
        return List.copyOf(services.values());
    }

    /** The settings. */
    public FleetSettings settings() {
        return settings;
    }

    /** The sheet that fits this fleet, with its workspaces' keys. */
    public DefaultSheet defaultSheet() {
        return defaultSheet;
    }

    /** Calls to the fleet's processes. */
    public JsonCalls calls() {
        return calls;
    }

    /** Publishes a sheet by conditional update; the result is its generation. */
    public long publish(JsonNode sheet) {
        return new SheetPublisher(calls, platform.url(HTTP)).publish(sheet);
    }

    /** Sets faults of a stand-in or proxy. */
    public void fault(ManagedProcess process, String faults) {
        calls.post(process.url(HTTP) + "/standin/faults", faults);
    }

    /** The requests that an upstream began. */
    public JsonNode runs(FleetNode upstream) {
        return calls.get(upstream.http() + "/standin/runs").body();
    }

    /** Starts one more router. */
    public FleetNode startRouter(String name, String dataCentre) {
        return launchAll(List.of(plannedRouter(name, dataCentre))).get(0);
    }

    /** Starts one more engine. */
    public FleetNode startEngine(String name, String dataCentre, EngineSettings engine) {
        return launchAll(List.of(plannedEngine(name, dataCentre, engine))).get(0);
    }
    /** Starts a fault proxy before a port of this fleet; its ports are {@code http} for faults and {@code proxy}. */
    public ManagedProcess startProxy(String name, int targetPort) {
        return launch(processes.proxy(name, targetPort));
    }

    /** Writes an entry of the list of VMs. */
    public void putVirtualMachine(VirtualMachine machine) {
        calls.put(virtualMachines.url(HTTP) + "/vms/" + machine.name(), mapper.valueToTree(machine));
    }
    /** What a check needs to drive the fleet from outside. */
    public JsonNode describe() {
        return FleetDescription.of(this);
    }

    @Override
    public void close() {
        started.forEach(ManagedProcess::close);
    }

    private void startAll() {
        List<ManagedProcess> outside = ParallelStart.of(
                List.of(
                        processes.standIn("platform", "platform"),
                        processes.standIn("virtual-machines", "virtual-machines"),
                        processes.standIn("ratings", "ratings")),
                started);
        platform = outside.get(0);
        virtualMachines = outside.get(1);
        ratings = outside.get(2);
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
        platformUrl = "http://" + openNode(platform);
        virtualMachinesUrl = "http://" + openNode(virtualMachines);
    }

    private String openNode(ManagedProcess process) {
        String address = network.open(process.name(), FleetNetwork.PLATFORM);
        network.target(process.name(), process.port(HTTP));
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
        return network == null ? planned : planned.reachedBy(network.open(machine.name(), machine.dataCentre()));
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
        return ParallelStart.of(List.of(process), started).get(0);
    }

    private List<FleetNode> launchAll(List<PlannedNode> planned) {
        List<ManagedProcess> launched =
                ParallelStart.of(planned.stream().map(PlannedNode::process).toList(), started);
        List<FleetNode> nodes = new ArrayList<>();
        for (int index = 0; index < planned.size(); index++) {
            nodes.add(register(planned.get(index), launched.get(index)));
        }
        return nodes;
    }

    private FleetNode register(PlannedNode planned, ManagedProcess process) {
        FleetNode node = planned.nodeOn(process);
        if (network != null) {
            network.target(node.name(), process.port(planned.addressPort()));
        }
        planned.nodes().put(node.name(), node);
        putVirtualMachine(node.machine());
        return node;
    }
}
