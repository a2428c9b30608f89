import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.TimeUnit;

/** What the cases share: threads, the objects that operator and engines write, and the exit codes. */
final class Kit {
    static final String HOST = "desk.example";
    static final int HELD = 0;
    /** The scripts turn it into 1, with which Java exits if it can't start. */
    static final int BROKEN = 10;
    static final int NOT_RUN = 2;
    /** Slots of an engine, as of the order desks of the small deployments. */
    static final int SLOTS = 6;

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int LIMIT_SECONDS = 110;

    private Kit() {}

    /** A case; returns an exit code. */
    interface Case {
        int run(Recorder recorder, boolean trouble) throws Exception;
    }

    /** Runs a case within its time, and ends this process and with it the routers. */
    static void main(String[] arguments, Case body) throws Exception {
        start(() -> {
            pause(LIMIT_SECONDS * 1_000L);
            System.err.println("the case took too long");
            System.exit(NOT_RUN);
        });
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = NOT_RUN;
        try {
            Recorder recorder = new Recorder(java.nio.file.Path.of(arguments[0]));
            recorder.note("TROUBLE=%s", trouble ? "1" : "0");
            code = body.run(recorder, trouble);
        } catch (Throwable failure) {
            System.err.println("the case could not run: " + failure);
        }
        System.exit(code);
    }

    static Thread daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        return thread;
    }

    static Thread start(Runnable action) {
        Thread thread = daemon(action);
        thread.start();
        return thread;
    }

    static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(Math.max(0, millis));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns a configuration without tenants; the limits are those of the small deployments. */
    static ObjectNode configuration(int version) {
        ObjectNode configuration = MAPPER.createObjectNode().put("version", version);
        configuration.putArray("routes");
        configuration
                .putArray("services")
                .addObject()
                .put("name", "desk")
                .put("healthCheckPath", "/health")
                .put("connectionLimit", 110)
                .put("protocol", "h1")
                .put("tls", false);
        configuration
                .putObject("limits")
                .put("maxHeaderBytes", 16_384)
                .put("maxBodyBytes", 4_194_304)
                .put("headerTimeoutMs", 3_000)
                .put("idleTimeoutMs", 15_000);
        return configuration;
    }

    static ObjectNode route(ObjectNode configuration, String name, String kind, long priority, int timeoutMillis) {
        return configuration
                .withArray("routes")
                .addObject()
                .put("name", name)
                .put("host", HOST)
                .put("pathPrefix", "/" + name + "/")
                .put("routeKind", kind)
                .put("timeoutMs", timeoutMillis)
                .put("targetLatencyMs", 500)
                .put("priority", priority)
                .put("service", "desk")
                .put("maxAttempts", 3)
                .put("anonymous", false);
    }

    static void tenant(ObjectNode configuration, String name, String... keys) {
        ArrayNode apiKeys =
                configuration.withArray("tenants").addObject().put("name", name).putArray("apiKeys");
        for (String key : keys) {
            apiKeys.add(key);
        }
    }

    /** Registers an engine, as it does itself with each beat. */
    static void register(Store store, Engine engine, String zone, int slots, int beat) {
        store.put(
                "servers",
                engine.id,
                MAPPER.createObjectNode()
                        .put("service", "desk")
                        .put("address", engine.address())
                        .put("zone", zone)
                        .put("version", "v1")
                        .put("slots", slots)
                        .put("state", "ready")
                        .put("warmupRemainingMs", 0)
                        .put("seq", beat));
    }

    /** Returns a request of a client. */
    static String request(String method, String path, String id, String key, int deadlineMillis, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: "
                + deadlineMillis + "\r\nX-Api-Key: " + key + "\r\n"
                + (method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
    }
}
