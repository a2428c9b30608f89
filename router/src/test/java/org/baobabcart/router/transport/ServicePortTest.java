package org.baobabcart.router.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A crowd of clients that send no complete request, on a port for few clients. */
class ServicePortTest {
    private static final int CROWD = 100;
    private static final int KEPT = 16;
    private static final int WAIT_SECONDS = 20;

    private final Vertx vertx = Vertx.vertx();
    private final MetricRegistry metrics = new MetricRegistry();
    private final List<Socket> sockets = new ArrayList<>();
    private int port;

    @BeforeEach
    void listen() throws Exception {
        port = ServicePort.createServer(vertx, metrics, ServicePort.Limits.forFewClients(), ServicePortTest::answer)
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(WAIT_SECONDS, TimeUnit.SECONDS)
                .actualPort();
    }

    private static void answer(HttpServerRequest request) {
        request.response().end("done");
    }

    @AfterEach
    void close() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        vertx.close();
    }

    private Socket connect(String sent) throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(WAIT_SECONDS * 1_000);
        sockets.add(socket);
        socket.getOutputStream().write(sent.getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private static String read(Socket socket) throws IOException {
        byte[] read = new byte[1_024];
        int length = socket.getInputStream().read(read);
        return length < 0 ? "" : new String(read, 0, length, StandardCharsets.US_ASCII);
    }

    private void crowdLeavesRoom(String sent) throws Exception {
        for (int client = 0; client < CROWD; client++) {
            connect(sent);
        }
        Socket ordinary = connect("GET / HTTP/1.1\r\n\r\n");
        assertThat(read(ordinary), startsWith("HTTP/1.1 200"));
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (metrics.meter("service-ports.closed").getCount() < CROWD - KEPT) {
            assertThat("closed in time", System.nanoTime() < end, is(true));
            TimeUnit.MILLISECONDS.sleep(5);
        }
        ordinary.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        assertThat(read(ordinary), startsWith("HTTP/1.1 200"));
    }

    @Test
    void idleConnectionsAreBounded() throws Exception {
        crowdLeavesRoom("");
    }

    @Test
    void headsThatDoNotEndAreBounded() throws Exception {
        crowdLeavesRoom("GET / HTTP/1.1\r\n" + "a:b\r\n".repeat(700));
    }

    @Test
    void headOverTheLimitIsRefused() throws Exception {
        Socket client = connect("GET / HTTP/1.1\r\n" + "a:b\r\n".repeat(2_000) + "\r\n");
        String answer;
        try {
            answer = read(client);
        } catch (SocketException reset) {
            // Closing with unread bytes may lose the response.
            answer = "";
        }
        assertThat(answer, anyOf(is(""), startsWith("HTTP/1.1 431")));
    }
}
