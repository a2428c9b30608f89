package org.baobabcart.router.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Clients that nobody controls, at the own interface. */
class ClientLimitsTest extends CallerApiTestBase {
    private static final int CLIENTS = 50;
    private static final int SHORT_LINES = 20_000;
    private static final String HEAD =
            "POST /services/orders/notes HTTP/1.1\r\nHost: any\r\nAuthorization: Bearer " + KEY + "\r\n";

    @BeforeEach
    void startService() throws Exception {
        FakeUpstream service = upstream("s", FakeUpstream.responding("done"));
        fakes.setView(sheet(), service.service("orders"));
    }

    @Test
    void headOfManyShortLinesIsServed() throws Exception {
        int lines = settings().limits().headerBytes() / "a: b\r\n".length() / 2;
        assertThat(exchange(HEAD + "a: b\r\n".repeat(lines) + "Connection: close\r\n\r\n"), startsWith("HTTP/1.1 200"));
    }

    @Test
    void headOverTheLimitIsRefusedAsNotRun() throws Exception {
        String answer = exchange(HEAD + "a: b\r\n".repeat(settings().limits().headerBytes() / 6 + 1));
        assertThat(answer, startsWith("HTTP/1.1 431"));
        assertThat(answer.contains("\"ran\":\"no\""), is(true));
    }

    @Test
    void emptyLinesWithoutEndAreRefused() throws Exception {
        assertThat(exchange("\r\n".repeat(settings().limits().headerBytes() / 2 + 64)), startsWith("HTTP/1.1 431"));
    }

    /** The parser holds nothing of a head without end, and ordinary requests are served beside them. */
    @Test
    void headsWithoutEndTakeNoParsedMemory() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try {
            for (int index = 0; index < CLIENTS; index++) {
                Socket client = connect();
                clients.add(client);
                send(client.getOutputStream(), HEAD + "a:b\r\n".repeat(index % 2 == 0 ? SHORT_LINES : 1_000));
            }
            assertThat(post("/services/orders/notes", "{}").statusCode(), is(200));
            await(() -> gauge("clients.head-bytes") == 0);
            long limit = Runtime.getRuntime().maxMemory() / 8;
            assertThat(gauge("clients.unparsed-bytes"), lessThan(limit));
        } finally {
            for (Socket client : clients) {
                client.close();
            }
        }
        await(() -> gauge("clients.unparsed-bytes") == 0);
    }

    private long gauge(String name) {
        return (Long) fakes.metrics.getGauges().get(name).getValue();
    }

    private static void send(OutputStream output, String text) {
        try {
            output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException closed) {
            // The router has refused the head.
        }
    }

    private String exchange(String sent) throws IOException {
        try (Socket socket = connect()) {
            send(socket.getOutputStream(), sent);
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }
}
