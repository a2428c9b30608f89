package org.baobabcart.router.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.router.transport.Transport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpVirtualMachineListTest {
    private static final Duration BOUND = Duration.ofSeconds(30);
    private static final PlatformSettings SETTINGS = new PlatformSettings(
            Duration.ofMillis(500),
            Duration.ofMillis(1_500),
            Duration.ofSeconds(1),
            Duration.ofMillis(500),
            2,
            Transport.plain());
    private static final String DEEP = "[".repeat(5_000) + "]".repeat(5_000);

    private final Vertx vertx = Vertx.vertx();
    private final AtomicReference<String> entries = new AtomicReference<>("");

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Other processes report what they serve to the list, so one entry may be malformed. */
    @Test
    void malformedEntriesAffectNoOtherAndDoNotRemoveTheirLastValidVersion() {
        HttpVirtualMachineList list = HttpVirtualMachineList.create(vertx, URI.create(serve()), SETTINGS);
        entries.set(entry("a", "10.0.0.1:7000") + "," + entry("b", "10.0.0.2:7000"));
        assertThat(names(list), containsInAnyOrder("a", "b"));
        entries.set(String.join(
                ",",
                entry("a", "10.0.0.1:70000"),
                "7",
                "null",
                DEEP,
                "{\"name\":" + DEEP + "}",
                entry("c", "10.0.0.3:7000")));
        assertThat(names(list), containsInAnyOrder("a", "c"));
        entries.set(entry("c", "10.0.0.3:7000"));
        assertThat(names(list), contains("c"));
    }

    private static List<String> names(HttpVirtualMachineList list) {
        return list.read().await().atMost(BOUND).stream()
                .map(VirtualMachine::name)
                .toList();
    }

    private static String entry(String name, String address) {
        return "{\"name\":\"" + name + "\",\"role\":\"ROUTER\",\"dataCentre\":\"x\",\"state\":\"LIVE\",\"address\":\""
                + address + "\",\"model\":\"\",\"version\":\"\",\"service\":\"\"}";
    }

    private String serve() {
        HttpServer server = vertx.createHttpServer()
                .requestHandler(request -> request.response().end("{\"virtualMachines\":[" + entries.get() + "]}"))
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join();
        return "http://127.0.0.1:" + server.actualPort();
    }
}
