package org.baobabcart.router.traffic;

import io.smallrye.mutiny.Uni;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.baobabcart.policy.admission.AdmissionQueue;
import org.baobabcart.policy.cascade.CascadeSettings;
import org.baobabcart.router.attempt.AttemptDependencies;
import org.baobabcart.router.attempt.CrashGuard;
import org.baobabcart.router.cascade.CascadeChooser;
import org.baobabcart.router.control.Futures;
import org.baobabcart.router.exchange.BodyBudget;
import org.baobabcart.router.exchange.BodyReader;
import org.baobabcart.router.exchange.ClientLimits;
import org.baobabcart.router.exchange.ClientMemory;
import org.baobabcart.router.exchange.DrainState;
import org.baobabcart.router.exchange.ExchangeDependencies;
import org.baobabcart.router.transport.EventLoopTimers;
import org.baobabcart.router.upstream.Dispatcher;
import org.baobabcart.router.upstream.DispatcherSettings;
import org.baobabcart.router.upstream.UpstreamClient;
import org.baobabcart.router.upstream.UpstreamClientSettings;
import org.baobabcart.router.upstream.UpstreamHealth;
import org.baobabcart.router.upstream.UpstreamNotices;

/**
 * The HTTP API for callers, served by several event loops. Thread-safe.
 *
 * <p>Offers chat and text completions and the model list in the format of the OpenAI API, and plain services.
 */
public final class CallerApi {
    private static final Duration DRAIN_POLL = Duration.ofMillis(10);
    /** The time for writing the answers to requests that still run at the end of a drain. */
    private static final Duration LAST_RESPONSES = Duration.ofMillis(200);
    /** A negative port makes Vert.x bind all instances of a deployment to the same free port. */
    private static final int SHARED_FREE_PORT = -1;

    private final Vertx vertx;
    private final TrafficRuntime runtime;
    private final List<CallerVerticle> verticles = new CopyOnWriteArrayList<>();

    private CallerApi(Vertx vertx, TrafficRuntime runtime) {
        this.vertx = vertx;
        this.runtime = runtime;
    }

    /** Creates an API that does not listen yet. */
    public static CallerApi create(Vertx vertx, TrafficDependencies dependencies, TrafficSettings settings) {
        UpstreamClient upstreams = UpstreamClient.create(
                vertx,
                UpstreamClientSettings.of(settings.timeouts().connect(), settings.transport()),
                UpstreamNotices.create(dependencies.timeline()),
                dependencies.timeline());
        UpstreamHealth health = UpstreamHealth.create(vertx, upstreams, dependencies.views(), dependencies.timeline());
        DispatcherSettings dispatcherSettings = new DispatcherSettings(
                settings.node().name(),
                settings.node().dataCentre(),
                new AdmissionQueue.Settings(
                        settings.limits().queued(), settings.limits().queuedPerWorkspace()));
        Dispatcher dispatcher = Dispatcher.create(vertx, dispatcherSettings, dependencies.views(), health);
        TrafficRuntime.Guards guards = new TrafficRuntime.Guards(
                SharedRetryBudget.create(settings.limits().attempts()),
                new DrainState(),
                VersionOutcomeReporter.create(dependencies));
        AttemptDependencies attempts = new AttemptDependencies(
                dependencies.views(),
                dispatcher,
                upstreams,
                health,
                CrashGuard.create(vertx, dependencies.crashes(), dependencies.metrics()),
                guards.drain());
        ExchangeDependencies exchanges = new ExchangeDependencies(
                vertx,
                dependencies.timeline(),
                dependencies.metrics(),
                new CallerErrorFormat(),
                settings.timeouts().callerStall());
        BodyBudget bodyBudget = BodyBudget.create(vertx, ClientLimits.defaults().bodyBytes());
        CascadeChooser cascades = CascadeChooser.create(CascadeSettings.defaults(), System::nanoTime);
        TrafficRuntime runtime = new TrafficRuntime(
                vertx,
                dependencies,
                settings,
                exchanges,
                attempts,
                guards,
                cascades,
                BodyReader.create(vertx, bodyBudget),
                ClientMemory.create(
                        ClientLimits.defaults().dividedAmong(settings.node().eventLoops()), dependencies.metrics()));
        upstreams.registerMetrics(dependencies.metrics());
        dependencies
                .metrics()
                .gauge("caller.running", () -> () -> guards.drain().running());
        dependencies.metrics().gauge("caller.buffered-bytes", () -> bodyBudget::usedBytes);
        dependencies.metrics().gauge("caller.stalled-bodies-refused", () -> bodyBudget::turnedAway);
        dependencies.metrics().gauge("dispatcher.waiting", () -> dispatcher::waiting);
        return new CallerApi(vertx, runtime);
    }

    /**
     * Starts to listen.
     *
     * @param port the port; zero for any free port
     * @return the actual port
     */
    public Uni<Integer> listen(String host, int port) {
        DeploymentOptions options =
                new DeploymentOptions().setInstances(runtime.settings().node().eventLoops());
        int sharedPort = port == 0 ? SHARED_FREE_PORT : port;
        return Futures.toUni(() -> vertx.deployVerticle(() -> newVerticle(host, sharedPort), options)
                .map(ignored -> verticles.get(0).actualPort()));
    }

    /**
     * Stops accepting connections, waits for running requests, and closes. Queued requests that might still be waiting
     * at the timeout are refused immediately, so that their callers can retry at another router.
     *
     * @param timeout the time after which running requests are answered with an error
     */
    public Uni<Void> drain(Duration timeout) {
        long end = System.nanoTime() + timeout.toNanos();
        runtime.drain().begin();
        runtime.drain().endBy(end);
        runtime.dispatcher().refuseWaitingBeyond(end);
        EventLoopTimers.start(vertx, timeout, () -> verticles.forEach(CallerVerticle::endRunning));
        Duration untilClosed = timeout.plus(LAST_RESPONSES);
        return Futures.toUni(() -> {
            List<Future<Void>> closing = new ArrayList<>();
            verticles.forEach(verticle -> closing.add(verticle.shutdown(untilClosed)));
            long deadline = System.nanoTime() + untilClosed.toNanos();
            return Future.join(closing)
                    .otherwiseEmpty()
                    .compose(ignored -> awaitIdle(deadline))
                    .compose(ignored -> runtime.upstreams().close());
        });
    }

    private CallerVerticle newVerticle(String host, int port) {
        CallerVerticle verticle = CallerVerticle.create(runtime, host, port);
        verticles.add(verticle);
        return verticle;
    }

    private Future<Void> awaitIdle(long deadline) {
        if (runtime.drain().running() == 0 || System.nanoTime() - deadline >= 0) {
            return Future.succeededFuture();
        }
        return vertx.timer(DRAIN_POLL.toMillis(), TimeUnit.MILLISECONDS).compose(ignored -> awaitIdle(deadline));
    }
}
