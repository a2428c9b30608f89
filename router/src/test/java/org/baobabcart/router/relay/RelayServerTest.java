package org.baobabcart.router.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.ResourceVersion;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.router.control.ControlLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the streams between routers over real connections. */
class RelayServerTest {
    private static final String HOST = "127.0.0.1";
    private static final String KIND = "config";
    private static final Duration POLL = Duration.ofSeconds(1);
    private static final long MAX_WAIT_SECONDS = 20;
    private static final int LARGE_TEXT = 60_000;

    private final Vertx vertx = Vertx.vertx();
    private final ControlLoop loop = ControlLoop.create("relay-server-test");
    private final RelaySource source = RelaySource.create(System::nanoTime);
    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> closed = new LinkedBlockingQueue<>();
    private final BlockingQueue<Integer> subscriberCounts = new LinkedBlockingQueue<>();
    private volatile boolean isRegistered = true;
    private final int port = listen();

    private final class Acceptor implements RelayServer.Acceptor {
        @Override
        public boolean accept(RelaySource.Subscriber subscriber) {
            boolean isAccepted = source.add(subscriber);
            subscriberCounts.add(source.subscribers());
            return isAccepted;
        }

        @Override
        public void remove(RelaySource.Subscriber subscriber) {
            source.remove(subscriber);
            subscriberCounts.add(source.subscribers());
        }
    }

    private final class Listener implements RelayNetwork.Listener {
        @Override
        public void onLine(byte[] line) {
            received.add(new String(line, StandardCharsets.UTF_8));
        }

        @Override
        public void onClosed(String cause, boolean hasAnswered) {
            closed.add(hasAnswered + " " + cause);
        }
    }

    private int listen() {
        RelayServer server = new RelayServer(
                vertx, new MetricRegistry(), loop, new Acceptor(), host -> isRegistered, Duration.ofMillis(200));
        return server.listen(HOST, 0)
                .toCompletionStage()
                .toCompletableFuture()
                .join()
                .actualPort();
    }

    @AfterEach
    void close() {
        loop.close();
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private RelayNetwork.Connection connect(String router) {
        return HttpRelayNetwork.create(vertx, loop, router).connect(HOST + ":" + port, new Listener());
    }

    private static ObjectEvent change(long revision, String text) {
        return new ObjectEvent(
                ObjectEvent.Type.MODIFIED,
                new StoredObject(
                        KIND,
                        "main",
                        Long.toString(revision),
                        JsonNodeFactory.instance.objectNode().put("text", text)));
    }

    private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T item = queue.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat("nothing arrived", item != null, is(true));
        return item;
    }

    @Test
    void aSubscriberReceivesTheLogAndLaterChanges() throws InterruptedException {
        loop.execute(() -> {
            source.begin(KIND, ResourceVersion.of(5), 0);
            source.onAnswer(KIND, ResourceVersion.of(6), List.of(change(6, "first")), POLL);
        });
        connect("a");
        assertThat(next(received), containsString(RelayLine.RESTART));
        assertThat(next(received), containsString("first"));
        assertThat(next(received), containsString("BOOKMARK"));
        assertThat(next(received), containsString(RelayLine.AGES));
        loop.execute(() -> source.onAnswer(KIND, ResourceVersion.of(8), List.of(change(8, "second")), POLL));
        assertThat(next(received), containsString("second"));
    }

    @Test
    void aStrangerIsTurnedAway() throws InterruptedException {
        isRegistered = false;
        connect("a");
        assertThat(next(closed), is("true status 403"));
    }

    @Test
    void theNumberOfSubscribersIsBounded() throws InterruptedException {
        for (int index = 0; index <= RelaySource.MAX_SUBSCRIBERS; index++) {
            connect("router-" + index);
        }
        assertThat(next(closed), is("true status 503"));
    }

    @Test
    void anUnusedPortHasNotAnswered() throws InterruptedException {
        HttpRelayNetwork.create(vertx, loop, "a").connect(HOST + ":1", new Listener());
        assertThat(next(closed).startsWith("false"), is(true));
    }

    @Test
    void aRouterThatConnectsAgainTakesItsOwnPlace() throws InterruptedException {
        connect("a");
        assertThat(next(subscriberCounts), is(1));
        connect("a");
        assertThat(next(subscriberCounts), is(0));
        assertThat(next(subscriberCounts), is(1));
        assertThat(next(closed).startsWith("false"), is(true));
    }

    @Test
    void aClosedConnectionGivesItsPlaceBack() throws InterruptedException {
        RelayNetwork.Connection connection = connect("a");
        next(received);
        assertThat(next(subscriberCounts), is(1));
        connection.close();
        assertThat(next(subscriberCounts), is(0));
    }

    /** A subscriber that does not read is cut off, however much is sent meanwhile. */
    @Test
    void aSubscriberThatDoesNotReadIsCutOff() throws IOException, InterruptedException {
        loop.execute(() -> source.begin(KIND, ResourceVersion.of(1), 0));
        try (Socket socket = new Socket(HOST, port)) {
            socket.getOutputStream()
                    .write(("GET " + RelayServer.PATH + "?router=slow HTTP/1.1\r\nHost: relay\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            assertThat(next(subscriberCounts), is(1));
            String text = "x".repeat(LARGE_TEXT);
            Integer subscribers = null;
            for (int revision = 2; subscribers == null && revision < 2_000; revision++) {
                long current = revision;
                loop.execute(
                        () -> source.onAnswer(KIND, ResourceVersion.of(current), List.of(change(current, text)), POLL));
                subscribers = subscriberCounts.poll(20, TimeUnit.MILLISECONDS);
            }
            assertThat(subscribers, is(0));
        }
    }
}
