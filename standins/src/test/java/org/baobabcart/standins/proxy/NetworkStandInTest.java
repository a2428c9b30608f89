package org.baobabcart.standins.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import org.baobabcart.standins.base.RunningStandIn;
import org.baobabcart.standins.service.ServiceStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class NetworkStandInTest {
    private static final String BOOKING = "POST /bookings HTTP/1.1\r\nHost: service\r\nContent-Length: 0\r\n\r\n";
    private static final String BOOKED = "HTTP/1.1 201";
    private static final String NEAR = "127.0.1.1";
    private static final String FAR = "127.0.2.1";

    private RunningStandIn service;
    private RunningStandIn network;
    private int port;

    @BeforeEach
    void start() throws Exception {
        service = RunningStandIn.start(ServiceStandIn::create, RunningStandIn.settings());
        network = RunningStandIn.start(NetworkStandIn::create, RunningStandIn.settings());
        network.call("PUT", "/data-centres/" + NEAR, "{\"dataCentre\":\"a\"}");
        network.call("PUT", "/data-centres/" + FAR, "{\"dataCentre\":\"b\"}");
        String opened = network.call("POST", "/nodes", "{\"name\":\"orders\",\"dataCentre\":\"a\"}")
                .body();
        port = new JsonObject(opened).getInteger("port");
        network.call("PUT", "/nodes/orders/target", "{\"port\":" + service.port("http") + "}");
    }

    @AfterEach
    void stop() {
        network.close();
        service.close();
    }

    @Test
    void cutHoldsBackDataFromTheOtherDataCentreOnlyUntilItEnds() throws Exception {
        cut("b", "a");
        try (Socket far = connect(FAR);
                Socket near = connect(NEAR)) {
            RunningStandIn.send(far, BOOKING);
            RunningStandIn.send(near, BOOKING);
            assertThat(readStatusLineStart(near), startsWith(BOOKED));
            assertThat(bookings(), equalTo(1));
            network.fault("{}");
            assertThat(readStatusLineStart(far), startsWith(BOOKED));
            assertThat(bookings(), equalTo(2));
        }
    }

    @Test
    void cutOfTheReverseDirectionDeliversTheRequestAndHoldsBackTheResponse() throws Exception {
        cut("a", "b");
        try (Socket far = connect(FAR)) {
            RunningStandIn.send(far, BOOKING);
            RunningStandIn.awaitTrue(() -> bookings() == 1);
            assertThat(far.getInputStream().available(), equalTo(0));
            network.fault("{}");
            assertThat(readStatusLineStart(far), startsWith(BOOKED));
        }
    }

    @Test
    void resetAbortsOpenAndNewConnections() throws Exception {
        try (Socket far = connect(FAR)) {
            RunningStandIn.send(far, BOOKING);
            assertThat(readStatusLineStart(far), startsWith(BOOKED));
            network.fault("{\"reset\":true,\"cuts\":[{\"from\":\"b\",\"to\":\"a\"}]}");
            assertThrows(SocketException.class, () -> far.getInputStream().transferTo(OutputStream.nullOutputStream()));
        }
        assertThrows(SocketException.class, () -> {
            try (Socket far = connect(FAR)) {
                far.getInputStream().read();
            }
        });
    }

    private void cut(String from, String to) throws Exception {
        network.fault("{\"cuts\":[{\"from\":\"" + from + "\",\"to\":\"" + to + "\"}]}");
    }

    private Socket connect(String source) throws IOException {
        return new Socket(InetAddress.getByName("127.0.0.1"), port, InetAddress.getByName(source), 0);
    }

    private int bookings() {
        try {
            return service.json("/status").getInteger("bookings");
        } catch (Exception exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static String readStatusLineStart(Socket socket) throws IOException {
        return new String(socket.getInputStream().readNBytes(BOOKED.length()), StandardCharsets.US_ASCII);
    }
}
