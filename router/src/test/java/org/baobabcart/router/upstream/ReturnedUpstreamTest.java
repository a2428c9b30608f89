package org.baobabcart.router.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
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

    private static final int BACKLOG = 16;
    private static final int MAX_REQUEST_BYTES = 4_096;
    private static final byte[] RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final StartBudget.Router SELF = new StartBudget.Router("router", "a");

    private final Vertx vertx = Vertx.vertx();
    private final AtomicInteger requests = new AtomicInteger();
    private final UpstreamNotices notices = UpstreamNotices.create((type, request, fields) -> {});
    private final int port = startServer(0).getLocalPort();
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
    private ServerSocket server;
    private Thread acceptor;

    private ServerSocket startServer(int onPort) {
        try {
            server = new ServerSocket(onPort, BACKLOG, InetAddress.getByName(HOST));
        } catch (IOException fault) {
            throw new UncheckedIOException(fault);
        }
        acceptor = new Thread(() -> serve(server));
        acceptor.start();
        return server;
    }

    private void serve(ServerSocket own) {
        while (!own.isClosed()) {
            try (Socket socket = own.accept()) {
                if (socket.getInputStream().read(new byte[MAX_REQUEST_BYTES]) >= 0) {
                    requests.incrementAndGet();
                    socket.getOutputStream().write(RESPONSE);
                }
            } catch (IOException closed) {
                // The server or the connection was closed.
            }
        }
    }

    /** The port is free once the thread that accepts connections has ended. */
    private void stopServer() throws Exception {
        server.close();
        acceptor.join();
    }

    private void declare(StartBudget budget) {
        notices.coldUpstreams().setTerms(Map.of("desk", new ColdUpstreams.Terms(COLD_TIME, budget)));
    }

    private void returnAfterRefusing() throws Exception {
        stopServer();
        health.markUnreachable(upstream);
        startServer(port);
    }

    @Test
    void othersSendNoHealthCheckUntilTheUpstreamIsWarm() throws Exception {
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
    void ownerChecksTheHealthWhileTheUpstreamIsCold() throws Exception {
        declare(StartBudget.of(8, 17));
        notices.coldUpstreams().follow(SELF, List.of(SELF), System.nanoTime() + TIMEOUT.toNanos());
        returnAfterRefusing();
        await(() -> !health.isSuspected(upstream.name()));
        assertThat(health.isCold(upstream, System.nanoTime()), is(true));
        assertThat(requests.get(), is(1));
    }

    @Test
    void upstreamOfAnotherServiceIsCheckedAsBefore() throws Exception {
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
    void stop() throws Exception {
        stopServer();
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
