package org.baobabcart.standins.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.baobabcart.standins.base.RunningStandIn;
import org.baobabcart.standins.base.StandInSettings;
import org.baobabcart.standins.service.ServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FaultProxyTest {
    private static final String STATUS = "GET /status HTTP/1.1\r\nHost: service\r\n\r\n";
    private static final String BOOKING = "POST /bookings HTTP/1.1\r\nHost: service\r\nContent-Length: 0\r\n\r\n";
    private static final int END_OF_STREAM = -1;

    private RunningStandIn service;
    private RunningStandIn proxy;

    @BeforeEach
    void start() throws Exception {
        StandInSettings defaults = RunningStandIn.settings();
        service = RunningStandIn.start(ServiceStandIn::create, defaults);
        String target = "127.0.0.1:" + service.port("http");
        proxy = RunningStandIn.start(
                FaultProxy::create,
                new StandInSettings("proxy", 0, "a", defaults.engine(), defaults.platform(), "", target, 0));
    }

    @AfterEach
    void stop() {
        proxy.close();
        service.close();
    }

    @Test
    void silencedConnectionsForwardNothingWhileNewOnesWork() throws Exception {
        try (Socket silenced = connect()) {
            assertThat(exchange(silenced, STATUS), startsWith("HTTP/1.1 200"));
            proxy.fault("{\"silent-connections\":true}");
            RunningStandIn.send(silenced, BOOKING);
            try (Socket fresh = connect()) {
                assertThat(exchange(fresh, STATUS), startsWith("HTTP/1.1 200"));
            }
            assertThat(silenced.getInputStream().available(), equalTo(0));
        }
        assertThat(service.json("/status").getInteger("bookings"), equalTo(0));
    }

    @Test
    void cutClosesConnectionsAndRejectsNewOnesUntilItEnds() throws Exception {
        try (Socket open = connect()) {
            exchange(open, STATUS);
            proxy.fault("{\"cut\":true}");
            assertThat(readUntilEnd(open), equalTo(END_OF_STREAM));
        }
        try (Socket refused = connect()) {
            assertThat(readUntilEnd(refused), equalTo(END_OF_STREAM));
        }
        proxy.fault("{\"cut\":false}");
        try (Socket fresh = connect()) {
            assertThat(exchange(fresh, STATUS), startsWith("HTTP/1.1 200"));
        }
    }

    @Test
    void droppedResponsesHideCompletedBookings() throws Exception {
        proxy.fault("{\"drop-answers\":true}");
        try (Socket socket = connect()) {
            RunningStandIn.send(socket, BOOKING);
            RunningStandIn.awaitTrue(() -> bookings() == 1);
            assertThat(socket.getInputStream().available(), equalTo(0));
        }
    }

    @Test
    void responsesAreCutAfterTheConfiguredBytes() throws Exception {
        proxy.fault("{\"cut-after-bytes\":12}");
        try (Socket socket = connect()) {
            RunningStandIn.send(socket, STATUS);
            byte[] received = socket.getInputStream().readAllBytes();
            assertThat(new String(received, StandardCharsets.US_ASCII), equalTo("HTTP/1.1 200"));
        }
    }

    @Test
    void blackHoleHoldsBackDataUntilItEnds() throws Exception {
        try (Socket socket = connect()) {
            exchange(socket, STATUS);
            proxy.fault("{\"black-hole\":true}");
            RunningStandIn.send(socket, BOOKING);
            assertThat(bookings(), equalTo(0));
            proxy.fault("{\"black-hole\":false}");
            assertThat(
                    new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII),
                    equalTo("HTTP/1.1 201"));
        }
    }

    private Socket connect() throws IOException {
        return RunningStandIn.connect(proxy.port("proxy"));
    }

    private int bookings() {
        try {
            return service.json("/status").getInteger("bookings");
        } catch (Exception exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static String exchange(Socket socket, String request) throws IOException {
        RunningStandIn.send(socket, request);
        StringBuilder response = new StringBuilder();
        while (response.indexOf("}") < 0) {
            response.append((char) socket.getInputStream().read());
        }
        return response.toString();
    }

    private static int readUntilEnd(Socket socket) {
        try {
            return socket.getInputStream().read();
        } catch (IOException reset) {
            return END_OF_STREAM;
        }
    }
}
