package org.baobabcart.router.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.startsWith;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Connections on which a request does not arrive in time. */
class IncompleteRequestTest extends CallerApiTestBase {
    @Override
    TrafficSettings settings() {
        TrafficSettings defaults = super.settings();
        TrafficSettings.Timeouts timeouts = defaults.timeouts();
        return defaults.withTimeouts(new TrafficSettings.Timeouts(
                Duration.ofMillis(300),
                timeouts.idleConnection(),
                timeouts.total(),
                timeouts.maxTotal(),
                timeouts.connect(),
                timeouts.firstByte(),
                timeouts.betweenBytes(),
                timeouts.callerStall()));
    }

    @Test
    void incompleteHeadAndBodyTimeOut() throws Exception {
        fakes.setView(sheet());
        try (Socket socket = connect()) {
            socket.getOutputStream().write("POST /v1/chat/compl".getBytes(StandardCharsets.US_ASCII));
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(response, startsWith("HTTP/1.1 408"));
        }
        try (Socket socket = connect()) {
            socket.getOutputStream().write(head("POST /v1/chat/completions", "Accept: */*", 100, "{\"model\""));
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(response, startsWith("HTTP/1.1 408"));
            assertThat(response, containsString("\"code\":1004"));
        }
    }
}
