package org.baobabcart.router.gateway;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.cascade.FirstByteEstimator;
import org.baobabcart.policy.cascade.LatencyPressure;
import org.baobabcart.policy.version.VersionOutcomeRecorder;
import org.baobabcart.router.admin.PrometheusText;
import org.baobabcart.router.attempt.AttemptDependencies;
import org.baobabcart.router.attempt.CrashGuard;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.ControlLoop;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.Futures;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.control.SystemTimerService;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.crash.CrashLedger;
import org.baobabcart.router.crash.StoredCrashReports;
import org.baobabcart.router.exchange.BodyBudget;
import org.baobabcart.router.exchange.BodyReader;
import org.baobabcart.router.exchange.ClientMemory;
import org.baobabcart.router.exchange.DrainState;
import org.baobabcart.router.exchange.ExchangeDependencies;
import org.baobabcart.router.limit.RateLimitController;
import org.baobabcart.router.platform.MonitoredObjectStore;
import org.baobabcart.router.platform.ObjectInformer;
import org.baobabcart.router.platform.ObjectStore;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;
import org.baobabcart.router.transport.ServicePort;
import org.baobabcart.router.transport.Transport;
import org.baobabcart.router.upstream.ColdUpstreams;
import org.baobabcart.router.upstream.Dispatcher;
import org.baobabcart.router.upstream.DispatcherSettings;
import org.baobabcart.router.upstream.IsolationDetector;
import org.baobabcart.router.upstream.UpstreamClient;
import org.baobabcart.router.upstream.UpstreamClientSettings;
import org.baobabcart.router.upstream.UpstreamHealth;
import org.baobabcart.router.upstream.UpstreamNotices;
import org.baobabcart.router.view.TrafficView;
import org.baobabcart.router.view.ViewPublisher;

/**
 * A router of the opaque request path, as a library object that is created, started once and stopped once. Thread-safe.
 *
 * <p>A planned stop reports the router as not ready, serves requests until the balancer has noticed, then rejects new requests,
 * waits for running ones to end, and closes.
 */
public final class GatewayProcess {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    /** How often a planned stop checks whether all requests have ended. */
    private static final Duration IDLE_POLL_INTERVAL = Duration.ofMillis(50);

    private final GatewayDependencies dependencies;
    private final ControlLoop loop = ControlLoop.create("control");
    private final TimerService timers = SystemTimerService.on(loop);
    private final Blackboard blackboard = Blackboard.create();
    private final MetricRegistry metrics;
    private final DrainState drain = new DrainState();
    private final ViewPublisher views = ViewPublisher.create(blackboard);
    private final GatewayRuntime runtime;
    private final GatewayServer server;
    private final UpstreamController upstreams;
    private final RateLimitController rateLimits;
    private final FleetParts fleet;
    private final List<Controller> controllers;
    private boolean wasReady;
    private final AtomicBoolean stopStarted = new AtomicBoolean();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();

    private GatewayProcess(GatewayDependencies dependencies) {
        this.dependencies = dependencies;
        this.metrics = dependencies.metrics();
        Timeline timeline = dependencies.timeline();
        ObjectStore store = MonitoredObjectStore.of(dependencies.store(), blackboard, loop, timeline, metrics);
        VersionOutcomeRecorder outcomeRecorder = VersionOutcomeRecorder.create();
        CrashLedger crashes = CrashLedger.create(
                dependencies.settings().name(), timers.wallClockMillis(), timers::nanoTime, timeline);
        this.runtime = runtime(outcomeRecorder, crashes);
        this.server = GatewayServer.create(runtime, drain);
        runtime.reachability().onIsolationChange(this::isolationChanged);
        this.fleet = FleetParts.create(
                dependencies,
                store,
                loop,
                timers,
                blackboard,
                runtime.attempts().upstreams().notices().coldUpstreams());
        ObjectInformer.Dependencies informerDependencies = fleet.informerDependencies();
        this.upstreams = UpstreamController.create(
                dependencies.objects(),
                informerDependencies,
                blackboard,
                timeline,
                listed -> fleet.coldUpstreams().ifPresent(controller -> controller.onListed(listed)),
                runtime.attempts().upstreams()::restarted);
        this.rateLimits = RateLimitController.create(
                dependencies.settings().name(),
                informerDependencies,
                blackboard,
                runtime.attempts().upstreams().notices().rateLimits());
        List<Controller> following = List.of(
                views,
                RouteController.create(dependencies.objects(), informerDependencies, blackboard, timeline),
                upstreams,
                rateLimits,
                VersionOrderController.create(
                        dependencies.settings().name(),
                        dependencies.objects(),
                        informerDependencies,
                        blackboard,
                        timeline,
                        dependencies.settings().move(),
                        outcomeRecorder),
                StoredCrashReports.create(dependencies.settings().name(), crashes, informerDependencies));
        Optional<Controller> evacuations = Optional.of(dependencies.settings().fleet())
                .filter(FleetSettings::evacuations)
                .map(ignored -> evacuations(informerDependencies));
        // Upstreams are marked as cold before the view lists them.
        this.controllers = Stream.of(
                        fleet.coldUpstreams().stream(), following.stream(), evacuations.stream(), fleet.controllers())
                .<Controller>flatMap(controllers -> controllers)
                .toList();
    }

    /** Creates a router that does not listen yet. */
    public static GatewayProcess create(GatewayDependencies dependencies) {
        return new GatewayProcess(dependencies);
    }

    private GatewayRuntime runtime(VersionOutcomeRecorder outcomeRecorder, CrashLedger crashes) {
        Vertx vertx = dependencies.vertx();
        GatewaySettings settings = dependencies.settings();
        UpstreamClient client = UpstreamClient.create(
                vertx,
                UpstreamClientSettings.of(settings.connectTimeout(), Transport.plain())
                        .withRules(dependencies.codec().responseRules())
                        .withIdleTimeout(settings.idleConnection()),
                UpstreamNotices.create(dependencies.timeline()),
                dependencies.timeline());
        UpstreamHealth health = UpstreamHealth.create(vertx, client, views, dependencies.timeline());
        Dispatcher dispatcher = Dispatcher.create(
                vertx,
                new DispatcherSettings(settings.name(), settings.dataCentre(), settings.queue())
                        .withCrossDataCentreAffinity()
                        .withDepartures(),
                views,
                health,
                DepartureReporter.create(metrics, dependencies.timeline()));
        BodyBudget bodyBudget = BodyBudget.create(vertx, settings.clients().bodyBytes());
        metrics.gauge("gateway.running", () -> drain::running);
        metrics.gauge("process.heap-bytes", () -> GatewayProcess::usedHeapBytes);
        metrics.gauge("gateway.generation", () -> () -> views.current().generation());
        metrics.gauge("gateway.waiting", () -> dispatcher::waiting);
        metrics.gauge("gateway.rate-limited-upstreams", () -> client.notices().rateLimits()::count);
        ColdUpstreams coldUpstreams = client.notices().coldUpstreams();
        metrics.gauge("gateway.cold-upstreams", () -> () -> coldUpstreams.count(timers.nanoTime()));
        metrics.gauge("gateway.cold-upstream-permits", () -> coldUpstreams::permitted);
        metrics.gauge("gateway.cold-upstream-permits-refused", () -> coldUpstreams::heldBack);
        client.registerMetrics(metrics);
        metrics.gauge("gateway.buffered-bytes", () -> bodyBudget::usedBytes);
        metrics.gauge("gateway.bodies-waiting", () -> bodyBudget::waiting);
        metrics.gauge("gateway.stalled-bodies-refused", () -> bodyBudget::turnedAway);
        CrashGuard crashGuard = CrashGuard.create(vertx, crashes, metrics);
        return new GatewayRuntime(
                vertx,
                settings,
                dependencies.codec(),
                new ExchangeDependencies(
                        vertx,
                        dependencies.timeline(),
                        metrics,
                        GatewayErrorFormat.of(dependencies.codec()),
                        settings.callerStall()),
                new AttemptDependencies(views, dispatcher, client, health, crashGuard, drain),
                Reachability.of(health, isolationDetector(client, health)),
                ServiceRetryBudgets.create(settings.retries(), metrics),
                outcomeRecorder,
                LatencyPressure.create(),
                FirstByteEstimator.create(),
                RequestMetrics.create(metrics),
                BodyReader.create(vertx, bodyBudget),
                ClientMemory.create(settings.clients(), metrics));
    }

    private IsolationDetector isolationDetector(UpstreamClient client, UpstreamHealth health) {
        IsolationDetector isolation = IsolationDetector.create(new IsolationDetector.Dependencies(
                loop,
                timers,
                new Random(),
                views,
                health::isUnreachable,
                client::isReachable,
                client::lastActivityNanos,
                dependencies.timeline()));
        health.onUnreachable(isolation::upstreamUnreachable);
        metrics.gauge("gateway.isolated", () -> () -> isolation.isIsolated() ? 1 : 0);
        return isolation;
    }

    private EvacuationController evacuations(ObjectInformer.Dependencies informerDependencies) {
        Dispatcher dispatcher = runtime.attempts().dispatcher();
        metrics.gauge(
                "gateway.evacuated-data-centres",
                () -> () -> views.current().evacuations().dataCentres().size());
        metrics.gauge(
                "gateway.evacuated-running",
                () -> () -> dispatcher.running(views.current().evacuations()::isEvacuated));
        return EvacuationController.create(
                dependencies.objects(),
                informerDependencies,
                blackboard,
                dependencies.timeline(),
                dataCentre -> dispatcher.running(dataCentre::equals));
    }

    private static long usedHeapBytes() {
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Starts the controllers and opens the ports; completes when callers can connect. */
    public Uni<Void> start() {
        GatewayPorts ports = dependencies.ports();
        loop.execute(() -> {
            blackboard.subscribe(Sections.VIRTUAL_MACHINES, this::retainConnections);
            blackboard.subscribe(Sections.PLATFORM_REACHABLE, runtime.reachability()::setPlatformReachable);
            controllers.forEach(Controller::start);
        });
        dependencies
                .timeline()
                .record(
                        EventType.PROCESS_STARTED,
                        EventFields.of(EventField.NAME, dependencies.settings().name()));
        listenMetrics(ports);
        fleet.listen();
        return Futures.toUni(() -> listenReadiness(ports.readinessHost(), ports.readinessPort())
                .compose(ignored -> server.listen(ports.callerHost(), ports.callerPort()))
                .mapEmpty());
    }

    /** Callers whose connections are closed once the balancer has noticed come back at another router. */
    private void isolationChanged(boolean isolated) {
        if (isolated) {
            timers.after("idle-callers", dependencies.stopTimes().balancerDelay(), () -> {
                if (runtime.reachability().isIsolated()) {
                    server.closeIdleConnections();
                }
            });
        }
    }

    /** Closes connections to upstreams that are no longer listed; called on the control thread. */
    private void retainConnections(List<VirtualMachine> machines) {
        runtime.attempts().upstreams().retainOnly(machines);
    }

    /**
     * Applies the retry settings. All other settings take effect only at the next start, above all the share of new versions,
     * which must be the same on all routers. May be called from any thread.
     */
    public void reload(GatewaySettings settings) {
        runtime.retryBudgets().apply(settings.retries());
    }

    /** Begins the planned stop unless it has begun already; completes when the process may exit. */
    public Uni<Void> stop() {
        if (stopStarted.compareAndSet(false, true)) {
            dependencies
                    .timeline()
                    .record(EventType.PROCESS_STOPPING, EventFields.of(EventField.RUNNING, drain.running()));
            LOGGER.atInfo().log(
                    "event=stop_begun name=%s", dependencies.settings().name());
            drain.begin();
            loop.execute(rateLimits::release);
            GatewayStopTimes times = dependencies.stopTimes();
            dependencies
                    .vertx()
                    .timer(times.balancerDelay().toMillis(), TimeUnit.MILLISECONDS)
                    .compose(ignored -> drainAndClose(times))
                    .onComplete(ignored -> stopped.complete(null));
        }
        return stopped();
    }

    /** Completes at the end of a planned stop. */
    public Uni<Void> stopped() {
        return Uni.createFrom().completionStage(stopped);
    }

    private Future<Void> drainAndClose(GatewayStopTimes times) {
        long deadline = System.nanoTime() + times.drain().toNanos();
        drain.endBy(deadline);
        server.rejectNewRequests();
        runtime.attempts().dispatcher().refuseWaitingBeyond(deadline);
        return awaitIdle(deadline)
                .onComplete(ignored -> server.endRunning())
                .compose(ignored -> Future.join(server.shutdown(times.close()), leaveFleet(times.close())))
                .<Void>mapEmpty()
                .otherwiseEmpty()
                .onComplete(ignored -> {
                    dependencies
                            .timeline()
                            .record(EventType.PROCESS_STOPPED, EventFields.of(EventField.RUNNING, drain.running()));
                    loop.execute(() -> controllers.forEach(
                            controller -> controller.stop().subscribe().asCompletionStage()));
                    loop.close();
                });
    }

    private Future<Void> leaveFleet(Duration timeout) {
        Promise<Void> left = Promise.promise();
        loop.execute(() -> fleet.leave().subscribe().with(ignored -> left.tryComplete(), left::tryFail));
        return left.future().timeout(timeout.toMillis(), TimeUnit.MILLISECONDS).otherwiseEmpty();
    }

    private Future<Void> awaitIdle(long deadline) {
        if (drain.running() == 0 || System.nanoTime() - deadline >= 0) {
            return Future.succeededFuture();
        }
        return dependencies
                .vertx()
                .timer(IDLE_POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS)
                .compose(ignored -> awaitIdle(deadline));
    }

    private Future<HttpServer> listenReadiness(String host, int port) {
        return ServicePort.createServer(
                        dependencies.vertx(), metrics, ServicePort.Limits.forFewClients(), this::handleReadinessCheck)
                .listen(port, host);
    }

    private void handleReadinessCheck(HttpServerRequest request) {
        boolean ready = isReady();
        if (ready && !wasReady) {
            dependencies
                    .timeline()
                    .record(
                            EventType.PROCESS_READY,
                            EventFields.of(
                                    EventField.GENERATION, views.current().generation()));
        }
        wasReady = ready;
        request.response().setStatusCode(ready ? OK : UNAVAILABLE).end();
    }

    /** Opens the metrics port; a failure is logged and does not prevent serving callers. */
    private void listenMetrics(GatewayPorts ports) {
        ServicePort.createServer(dependencies.vertx(), metrics, ServicePort.Limits.forFewClients(), this::handleMetrics)
                .listen(ports.metricsPort(), ports.readinessHost())
                .onFailure(failure -> LOGGER.atWarning().log(
                        "event=metrics_not_served port=%d cause=%s", ports.metricsPort(), failure.getMessage()));
    }

    private void handleMetrics(HttpServerRequest request) {
        if (!request.path().equals(dependencies.ports().metricsPath())) {
            request.response().setStatusCode(NOT_FOUND).end();
            return;
        }
        request.response()
                .putHeader("Content-Type", "text/plain; version=0.0.4")
                .end(PrometheusText.of(metrics));
    }

    /**
     * Returns whether a route table, the list of upstreams, the claims on limited ones and the evacuated data centres are loaded, and the
     * router is neither stopping nor cut off.
     */
    private boolean isReady() {
        TrafficView view = views.current();
        return !drain.isDraining()
                && view.routes().isPresent()
                && upstreams.isSynced()
                && rateLimits.isSynced()
                && view.evacuations().isKnown()
                && !runtime.reachability().isCutOff(view);
    }
}
