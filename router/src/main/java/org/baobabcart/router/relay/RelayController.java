package org.baobabcart.router.relay;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.fleet.FleetMember;
import org.baobabcart.router.fleet.FleetView;
import org.baobabcart.router.platform.ObjectStore;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;

/**
 * Decides whether this router follows the store for others, by others, or by itself. Confined to the control thread, except where stated.
 *
 * <p>In a data centre with few routers each follows the store by itself, and nothing is sent.
 */
public final class RelayController implements Controller, RelayView, RelayServer.Acceptor {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Routers that start together know each other then, so that they agree on their relays. */
    private static final Duration SETTLING = Duration.ofMillis(1_500);

    private final Dependencies dependencies;
    private final RelayTiming timing;
    private final RelaySource source;
    private final RelaySubscriptions subscriptions;
    private final RelayedObjectStore store;
    private final RelayServer server;
    private final StaleRegistrations stale;
    private Optional<TimerService.Subscription> heartbeats = Optional.empty();
    private FleetView fleet = FleetView.unknown();
    private boolean wasRelay;
    private boolean stopped;

    /**
     * Dependencies of a relay. Immutable.
     *
     * @param vertx provides event loops
     * @param store the store itself
     * @param loop the executor of the control thread
     * @param timers the timer service
     * @param random the source of jitter
     * @param blackboard holds the view of the fleet
     * @param timeline the time line that records events
     * @param metrics the registry of metrics
     */
    public record Dependencies(
            Vertx vertx,
            ObjectStore store,
            Executor loop,
            TimerService timers,
            RandomGenerator random,
            Blackboard blackboard,
            Timeline timeline,
            MetricRegistry metrics) {}

    RelayController(Dependencies dependencies, RelayTiming timing, RelayNetwork network) {
        this.dependencies = dependencies;
        this.timing = timing;
        TimerService timers = dependencies.timers();
        this.source = RelaySource.create(timers::nanoTime);
        this.subscriptions = new RelaySubscriptions(
                network, timers, dependencies.random(), timing, dependencies.timeline(), this::onNews);
        this.store = new RelayedObjectStore(
                dependencies.store(), dependencies.loop(), timers::nanoTime, timing, this, source);
        this.server = new RelayServer(
                dependencies.vertx(),
                dependencies.metrics(),
                dependencies.loop(),
                this,
                this::isRouter,
                timing.silenceLimit());
        this.stale = new StaleRegistrations(dependencies.store(), network, dependencies.random());
        registerMetrics(dependencies.metrics());
    }

    /**
     * Creates a relay that neither listens nor connects yet.
     *
     * @param router the name of this router
     */
    public static RelayController create(String router, Dependencies dependencies, RelayTiming timing) {
        RelayNetwork network = HttpRelayNetwork.create(dependencies.vertx(), dependencies.loop(), router);
        return new RelayController(dependencies, timing, network);
    }

    private void registerMetrics(MetricRegistry metrics) {
        metrics.gauge("relay.subscribers", () -> source::subscribers);
        metrics.gauge("relay.events-received", () -> subscriptions::events);
        metrics.gauge("relay.kinds-relayed", () -> store::relayedKinds);
    }

    /** Returns the store whose watches are served by relays. */
    public ObjectStore store() {
        return store;
    }

    /** Listens for other routers. If the port cannot be opened, none can subscribe, and they ask others. Thread-safe. */
    public void listen(String host, int port) {
        server.listen(host, port)
                .onFailure(failure ->
                        LOGGER.atWarning().log("event=relay_not_served port=%d cause=%s", port, failure.getMessage()));
    }

    @Override
    public void start() {
        dependencies.blackboard().subscribe(Sections.FLEET, view -> fleet = view);
        dependencies.timers().after("relay-start", SETTLING, this::startSharing);
    }

    private void startSharing() {
        onFleet(dependencies.blackboard().read(Sections.FLEET));
        dependencies.blackboard().subscribe(Sections.FLEET, this::onFleet);
    }

    /** Routers that share nothing have no timer. */
    private void ensureHeartbeats() {
        boolean isNeeded = subscriptions.isSharing() || source.subscribers() > 0;
        if (isNeeded && heartbeats.isEmpty() && !stopped) {
            heartbeats = Optional.of(dependencies.timers().every("relay", timing.heartbeat(), this::onHeartbeat));
        }
    }

    @Override
    public Uni<Void> stop() {
        stopped = true;
        heartbeats.ifPresent(TimerService.Subscription::cancel);
        subscriptions.stop();
        server.close();
        return Uni.createFrom().voidItem();
    }

    private void onFleet(FleetView view) {
        source.retainOnly(view.members().stream().map(FleetMember::name).collect(Collectors.toSet()));
        subscriptions.onFleet(view);
        ensureHeartbeats();
        if (wasRelay != subscriptions.isRelay()) {
            wasRelay = subscriptions.isRelay();
            dependencies
                    .timeline()
                    .record(
                            EventType.RELAY_CHANGED,
                            EventFields.of(EventField.MEMBER, view.self())
                                    .with(EventField.STATE, wasRelay ? "relay" : "no relay"));
        }
        store.review();
    }

    private void onHeartbeat() {
        source.sendAges();
        if (subscriptions.isSharing()) {
            subscriptions.update();
            store.review();
            reviewRegistrations();
        }
    }

    /** A relay expects all others of its data centre to subscribe, and they expect their relays to answer. */
    private void reviewRegistrations() {
        Set<FleetMember> expected =
                subscriptions.isRelay() ? subscriptions.expectedSubscribers() : subscriptions.unreached();
        stale.review(expected, dependencies.timers().nanoTime());
    }

    private void onNews() {
        store.review();
    }

    @Override
    public boolean accept(RelaySource.Subscriber subscriber) {
        boolean isAccepted = source.add(subscriber);
        onSubscribers();
        return isAccepted;
    }

    @Override
    public void remove(RelaySource.Subscriber subscriber) {
        source.remove(subscriber);
        onSubscribers();
    }

    private void onSubscribers() {
        ensureHeartbeats();
        store.review();
        subscriptions.setServing(source.subscribers() > 0);
    }

    /** Returns whether this router is one of those that follow the store for the others of its data centre. */
    boolean isRelay() {
        return subscriptions.isRelay();
    }

    /** Returns the number of kinds whose changes relays tell at present. */
    int relayedKinds() {
        return store.relayedKinds();
    }

    private boolean isRouter(String host) {
        return fleet.members().stream().map(FleetMember::address).anyMatch(address -> address.startsWith(host + ":"));
    }

    @Override
    public boolean followsDirectly() {
        return subscriptions.isRelay() || source.subscribers() > 0 || !subscriptions.isSharing();
    }

    @Override
    public Collection<RelayedNews> news() {
        return subscriptions.news();
    }
}
