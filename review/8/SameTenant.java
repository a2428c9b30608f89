import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A new version of the configuration adds two tenants, whose names are in the script of their city. The engines keep what they store by the
 * header Tenant, as the router sets it.
 */
public final class SameTenant {
    private static final int DEADLINE_MILLIS = 1_500;
    private static final int CONFIG_MILLIS = 2_000;
    private static final int ROUNDS = 20;
    /** Arada and Gulele, two districts of Addis Ababa, in Ethiopic script. */
    private static final Map<String, String> ADDED = new LinkedHashMap<>(Map.of(
            "k1arad84hf02nd71", "\u12a0\u122b\u12f3",
            "k2gule93jd61ms28", "\u1309\u1208\u120c"));

    private final Recorder recorder;
    /** What each tenant has stored, by the bytes of the header. */
    private final Map<String, String> stored = new ConcurrentHashMap<>();
    /** The values of Tenant with which requests of a key have run. */
    private final Map<String, String> seen = new ConcurrentHashMap<>();
    private final AtomicInteger foreign = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();

    private SameTenant(Recorder recorder) {
        this.recorder = recorder;
    }

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments, (recorder, trouble) -> new SameTenant(recorder).run(trouble));
    }

    private int run(boolean trouble) throws Exception {
        Store store = new Store();
        store.put("config", "main", configuration(7, Map.of()));
        for (int index = 0; index < 4; index++) {
            Engine engine = new Engine("i-" + index, this::work);
            Kit.register(store, engine, index % 2 == 0 ? "ke-central-a" : "ke-central-b", Kit.SLOTS, 1);
        }
        List<Router> routers = List.of(
                new Router("frontend-a-1", "ke-central-a", store), new Router("frontend-b-1", "ke-central-b", store));
        for (Router router : routers) {
            router.awaitReady();
        }
        Map<String, String> tenants =
                new LinkedHashMap<>(Map.of("n2ctnfzs989anu6w", "hule930", "anfqasnmgkcuyj8p", "hule931"));
        if (trouble) {
            store.put("config", "main", configuration(9, ADDED));
            recorder.note("the store has acknowledged version 9, which adds two tenants");
            Kit.pause(CONFIG_MILLIS + 1_000);
            tenants.putAll(ADDED);
        }
        for (int round = 0; round < ROUNDS; round++) {
            Router router = routers.get(round % routers.size());
            for (String key : tenants.keySet()) {
                call(router, "PUT", key, round, "price list of " + key + " in round " + round);
            }
            for (String key : tenants.keySet()) {
                String answer = call(router, "GET", key, round, "");
                if (!answer.isEmpty() && !answer.contains(key)) {
                    foreign.incrementAndGet();
                    recorder.note("the client with the key %s reads: %s", key, answer);
                }
            }
        }
        return judge(tenants);
    }

    private static ObjectNode configuration(int version, Map<String, String> added) {
        ObjectNode configuration = Kit.configuration(version);
        Kit.route(configuration, "prices", "idempotent", 2, DEADLINE_MILLIS);
        Kit.tenant(configuration, "hule930", "n2ctnfzs989anu6w");
        Kit.tenant(configuration, "hule931", "anfqasnmgkcuyj8p");
        added.forEach((key, name) -> Kit.tenant(configuration, name, key));
        return configuration;
    }

    private void work(Engine engine, Message request, OutputStream output) throws java.io.IOException {
        String tenant = request.header("Tenant");
        String id = request.header("Attempt-Id");
        seen.put(id.substring(0, id.indexOf('.')), tenant);
        recorder.note("engine %s runs %s with Tenant %s", engine.id, id, shown(tenant));
        if (request.firstLine().startsWith("PUT ")) {
            stored.put(tenant, request.text());
        }
        engine.answer(output, request, "200 OK", stored.getOrDefault(tenant, ""));
    }

    private static String shown(String value) {
        return value + " (bytes " + java.util.HexFormat.of().formatHex(value.getBytes(Message.BYTES)) + ")";
    }

    private String call(Router router, String method, String key, int round, String body) throws Exception {
        String id = key + "." + method + round;
        sent.incrementAndGet();
        recorder.note("client sends %s to %s", id, router.name);
        try (Socket socket = new Socket("127.0.0.1", router.port)) {
            socket.setSoTimeout(5_000);
            Engine.write(
                    socket.getOutputStream(), Kit.request(method, "/prices/list", id, key, DEADLINE_MILLIS, body));
            Message answer = Message.read(socket.getInputStream());
            boolean ok = answer != null && answer.status() == 200;
            recorder.note("client gets for %s: %s", id, answer == null ? "nothing" : answer.firstLine());
            if (ok) {
                served.incrementAndGet();
            }
            return ok ? answer.text() : "";
        }
    }

    private int judge(Map<String, String> tenants) {
        List<String> violations = new ArrayList<>();
        tenants.forEach((key, name) -> {
            String value = seen.get(key);
            if (value != null && !names(value, name)) {
                violations.add("requests with the key of " + name + " ran with Tenant " + shown(value));
            }
        });
        violations.forEach(violation -> recorder.result("UNASKED: %s", violation));
        List<String> values = tenants.keySet().stream().map(seen::get).filter(value -> value != null).toList();
        long different = values.stream().distinct().count();
        recorder.result(
                "%d requests, %d served; tenants with requests that ran: %d, told apart by Tenant: %d; answers with the data of"
                        + " another tenant: %d",
                sent.get(), served.get(), values.size(), different, foreign.get());
        if (served.get() < sent.get() / 2) {
            return Kit.NOT_RUN;
        }
        return violations.isEmpty() ? Kit.HELD : Kit.BROKEN;
    }

    /** Returns whether the bytes of a header are this name, in any of the usual ways to write one in a header. */
    private static boolean names(String value, String name) {
        byte[] bytes = value.getBytes(Message.BYTES);
        String escaped = URLEncoder.encode(name, StandardCharsets.UTF_8).replace("+", "%20");
        return new String(bytes, StandardCharsets.UTF_8).equals(name)
                || value.equals(name)
                || value.equalsIgnoreCase(escaped)
                || value.equalsIgnoreCase("UTF-8''" + escaped)
                || value.startsWith("=?");
    }
}
