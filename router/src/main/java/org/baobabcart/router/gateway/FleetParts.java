package org.baobabcart.router.gateway;

import io.smallrye.mutiny.Uni;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.baobabcart.policy.outage.StoreContact;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.ControlLoop;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.crash.StoredCrashReports;
import org.baobabcart.router.fleet.FleetController;
import org.baobabcart.router.fleet.FleetNews;
import org.baobabcart.router.limit.RateLimitController;
import org.baobabcart.router.platform.ObjectInformer;
import org.baobabcart.router.platform.ObjectStore;
import org.baobabcart.router.relay.RelayController;
import org.baobabcart.router.relay.RelayTiming;
import org.baobabcart.router.upstream.ColdUpstreams;

/**
 * The parts of a router that concern all routers together: their registrations, the relays of watches and the budgets of cold upstreams. Each is
 * absent where {@link FleetSettings} do not ask for it.
 */
final class FleetParts {
    private final GatewayDependencies dependencies;
    private final ControlLoop loop;
    private final TimerService timers;
    private final Blackboard blackboard;
    private final FleetSettings settings;
    private final Optional<RelayController> relay;
    private final ObjectInformer.Dependencies informerDependencies;
    private final Optional<FleetController> registrations;
    private final Optional<ColdUpstreamController> coldUpstreams;

    private FleetParts(
            GatewayDependencies dependencies,
            ObjectStore store,
            ControlLoop loop,
            TimerService timers,
            Blackboard blackboard,
            ColdUpstreams coldState) {
        this.dependencies = dependencies;
        this.loop = loop;
        this.timers = timers;
        this.blackboard = blackboard;
        this.settings = dependencies.settings().fleet();
        this.relay = relay(store);
        this.informerDependencies = new ObjectInformer.Dependencies(
                relay.map(RelayController::store).orElse(store),
                loop,
                timers,
                RandomGenerator.getDefault(),
                dependencies.timeline(),
                dependencies.metrics(),
                StoreContact.create(settings.shortestLapsingOutage(), timers.nanoTime()));
        this.registrations = registrations();
        FleetNews news = registrations.<FleetNews>map(controller -> controller).orElse(() -> FleetNews.NEVER);
        this.coldUpstreams = settings.warmUp()
                .map(tolerance -> ColdUpstreamController.create(tolerance, blackboard, timers, news, coldState));
    }

    /**
     * Creates the parts that the settings ask for.
     *
     * @param store the platform's store
     * @param coldState the cold upstreams as the traffic threads know them
     */
    static FleetParts create(
            GatewayDependencies dependencies,
            ObjectStore store,
            ControlLoop loop,
            TimerService timers,
            Blackboard blackboard,
            ColdUpstreams coldState) {
        return new FleetParts(dependencies, store, loop, timers, blackboard, coldState);
    }

    /** Returns the dependencies of informers, whose watches are relayed where that is on. */
    ObjectInformer.Dependencies informerDependencies() {
        return informerDependencies;
    }

    Optional<ColdUpstreamController> coldUpstreams() {
        return coldUpstreams;
    }

    /** Returns the controllers that may start after the others. */
    Stream<Controller> controllers() {
        return Stream.concat(registrations.stream(), relay.stream());
    }

    /** Opens the port for other routers. */
    void listen() {
        relay.ifPresent(server -> server.listen(settings.peerHost(), settings.firstPeerPort()));
    }

    /** Removes this router's registration; called on the control thread. */
    Uni<Void> leave() {
        return registrations
                .map(FleetController::leave)
                .orElseGet(() -> Uni.createFrom().voidItem());
    }

    private Optional<RelayController> relay(ObjectStore store) {
        return Optional.of(settings)
                .filter(FleetSettings::hasPeerPorts)
                .map(ignored -> RelayController.create(
                        dependencies.settings().name(),
                        new RelayController.Dependencies(
                                dependencies.vertx(),
                                store,
                                loop,
                                timers,
                                RandomGenerator.getDefault(),
                                blackboard,
                                dependencies.timeline(),
                                dependencies.metrics()),
                        new RelayTiming(
                                settings.changeBound(),
                                Set.of(
                                        dependencies.objects().orderKind(),
                                        RateLimitController.KIND,
                                        StoredCrashReports.KIND,
                                        FleetController.KIND))));
    }

    private Optional<FleetController> registrations() {
        return Optional.of(settings)
                .filter(FleetSettings::hasPeerPorts)
                .map(ignored -> FleetController.create(
                        dependencies.settings().name(),
                        dependencies.settings().dataCentre(),
                        settings.peerAddress(),
                        informerDependencies,
                        blackboard,
                        dependencies.timeline(),
                        settings.warmUp().isPresent()));
    }
}
