package org.baobabcart.router.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.policy.warmup.StartBudget;
import org.baobabcart.router.transport.Transport;
import org.baobabcart.router.view.TrafficView;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** An upstream that refused connections and accepts them again may have started anew, so it is probed without requests. */
class ReturnedUpstreamTest {
    private static final Duration COLD_TIME = Duration.ofSeconds(2);
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    /** No client connects from this address, so that the port stays free while no server listens. */
    private static final String HOST = "127.77.0.5";

    private static final StartBudget.Router SELF = new StartBudget.Router("router", "a");

    private final Vertx vertx = Vertx.vertx();
    private final AtomicInteger requests = new AtomicInteger();
    private final UpstreamNotices notices = UpstreamNotices.create((type, request, fields) -> {});
    private final int port = startServer(0).actualPort();
    private final VirtualMachine upstream = new VirtualMachine(
            "engine",
            VirtualMachine.Role.SERVICE,
            "a",
            VirtualMachine.State.LIVE,
            "http://" + HOST + ":" + port,
            "",
            "",
            "desk");
    private final UpstreamHealth health = UpstreamHealth.create(
            vertx,
            UpstreamClient.create(
                    vertx,
                    UpstreamClientSettings.of(TIMEOUT, Transport.plain()).withRules(new AcceptingRules()),
                    notices,
                    (type, request, fields) -> {}),
            () -> new TrafficView(Optional.empty(), RollOutState.empty(), List.of(upstream), false),
            (type, request, fields) -> {});
    private HttpServer server;

    private HttpServer startServer(int onPort) {
        server = vertx.createHttpServer()
                .requestHandler(request -> {
                    requests.incrementAndGet();
                    request.response().end();
                })
                .listen(onPort, HOST)
                .toCompletionStage()
                .toCompletableFuture()
                .join();
        return server;
    }

    private void declare(StartBudget budget) {
        notices.coldUpstreams().setTerms(Map.of("desk", new ColdUpstreams.Terms(COLD_TIME, budget)));
    }

    private void returnAfterRefusing() {
        server.close().toCompletionStage().toCompletableFuture().join();
        health.markUnreachable(upstream);
        startServer(port);
    }

    @Test
    void othersSendNoHealthCheckUntilTheUpstreamIsWarm() {
        declare(StartBudget.of(8, 17));
        returnAfterRefusing();
        await(() -> health.isCold(upstream, System.nanoTime()));
        assertThat(health.tryTakePermit(upstream), is(false));
        await(() -> !health.isCold(upstream, System.nanoTime()));
        assertThat(requests.get(), is(0));
        await(() -> !health.isSuspected(upstream.name()));
        assertThat(requests.get(), is(1));
    }

    @Test
    void ownerChecksTheHealthWhileTheUpstreamIsCold() {
        declare(StartBudget.of(8, 17));
        notices.coldUpstreams().follow(SELF, List.of(SELF), System.nanoTime() + TIMEOUT.toNanos());
        returnAfterRefusing();
        await(() -> !health.isSuspected(upstream.name()));
        assertThat(health.isCold(upstream, System.nanoTime()), is(true));
        assertThat(requests.get(), is(1));
    }

    @Test
    void upstreamOfAnotherServiceIsCheckedAsBefore() {
        returnAfterRefusing();
        await(() -> !health.isSuspected(upstream.name()));
        assertThat(health.isCold(upstream, System.nanoTime()), is(false));
        assertThat(requests.get(), is(1));
    }

    private static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertThat("in time", System.nanoTime() - end < 0, is(true));
            try {
                TimeUnit.MILLISECONDS.sleep(5);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException(interrupted);
            }
        }
    }

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
