import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bookings, while one of seven engines fails a part of them with a 503 of its own: it has run them, and its answer does not carry
 * Not-Executed. Clients repeat a booking only after a promise.
 */
public final class FalsePromise {
    private static final int ENGINES = 7;
    private static final int CLIENTS = 8;
    private static final int BOOKINGS = 60;
    private static final int DEADLINE_MILLIS = 1_000;
    private static final double FAILING_SHARE = 0.4;
    private static final long GREY_FROM_MILLIS = 2_000;
    private static final long GREY_MILLIS = 6_500;
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private final Recorder recorder;
    private final Random random = new Random(6);
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Map<String, Integer> runsOfOrder = new ConcurrentHashMap<>();
    private final Map<String, Integer> answers = new ConcurrentHashMap<>();
    private final AtomicInteger failed = new AtomicInteger();
    private volatile String grey = "";

    private FalsePromise(Recorder recorder) {
        this.recorder = recorder;
    }

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments, (recorder, trouble) -> new FalsePromise(recorder).run(trouble));
    }

    private int run(boolean trouble) throws Exception {
        Store store = new Store();
        ObjectNode configuration = Kit.configuration(7);
        Kit.route(configuration, "book", "non_idempotent", 2, DEADLINE_MILLIS);
        Kit.tenant(configuration, "hule930", "n2ctnfzs989anu6wsjnb");
        store.put("config", "main", configuration);
        for (int index = 0; index < ENGINES; index++) {
            Engine engine = new Engine("i-" + index, this::book);
            Kit.register(store, engine, index % 2 == 0 ? "ke-central-a" : "ke-central-b", Kit.SLOTS, 1);
        }
        List<Router> routers = List.of(
                new Router("frontend-a-1", "ke-central-a", store), new Router("frontend-b-1", "ke-central-b", store));
        for (Router router : routers) {
            router.awaitReady();
        }
        Kit.start(() -> {
            Kit.pause(GREY_FROM_MILLIS);
            grey = trouble ? "i-3" : "";
            recorder.note("engine i-3 fails %s of its bookings", trouble ? FAILING_SHARE : "none");
            Kit.pause(GREY_MILLIS);
            grey = "";
            recorder.note("engine i-3 fails none any more");
        });
        List<Thread> clients = new ArrayList<>();
        for (int index = 0; index < CLIENTS; index++) {
            int client = index;
            clients.add(Kit.start(() -> orderAll(client, routers)));
        }
        for (Thread client : clients) {
            client.join();
        }
        Kit.pause(500);
        return judge();
    }

    /** Runs a booking; a grey engine fails after it has run it, with its health check still good. */
    private void book(Engine engine, Message request, java.io.OutputStream output)
            throws java.io.IOException, InterruptedException {
        String id = request.header("Attempt-Id");
        String order = request.text();
        runs.merge(id, 1, Integer::sum);
        runsOfOrder.merge(order, 1, Integer::sum);
        boolean fails;
        synchronized (random) {
            fails = engine.id.equals(grey) && random.nextDouble() < FAILING_SHARE;
        }
        Thread.sleep(30);
        recorder.note("engine %s runs %s for order %s%s", engine.id, id, order, fails ? ", answers 503 of its own" : "");
        if (fails) {
            failed.incrementAndGet();
            engine.answer(output, request, "503 Service Unavailable", "the confirmation could not be printed");
        } else {
            engine.answer(output, request, "200 OK", "cut " + order);
        }
    }

    private void orderAll(int client, List<Router> routers) {
        for (int number = 0; number < BOOKINGS; number++) {
            String order = "order-" + client + "-" + number;
            long end = System.nanoTime() + DEADLINE_MILLIS * 1_000_000L;
            for (int attempt = 0; attempt < 2; attempt++) {
                int left = (int) ((end - System.nanoTime()) / 1_000_000);
                Router router = routers.get((client + attempt) % routers.size());
                String id = order + "." + attempt;
                Message answer = left <= 0 ? null : send(router, order, id, left);
                answers.put(id, answer == null ? 0 : answer.status());
                if (answer == null || !PROMISES.contains(answer.status())) {
                    break;
                }
                String retryAfter = answer.header("Retry-After");
                double seconds = retryAfter.isEmpty() ? 0.05 : Double.parseDouble(retryAfter);
                Kit.pause(Math.min((long) (seconds * 1_000), left / 3));
            }
            Kit.pause(120);
        }
    }

    /** Sends one attempt on a new connection; returns null if the connection ends without an answer. */
    private Message send(Router router, String order, String id, int deadlineMillis) {
        recorder.note("client sends %s to %s", id, router.name);
        try (Socket socket = new Socket("127.0.0.1", router.port)) {
            socket.setSoTimeout(5_000);
            Engine.write(
                    socket.getOutputStream(),
                    Kit.request("POST", "/book/1", id, "n2ctnfzs989anu6wsjnb", deadlineMillis, order));
            Message answer = Message.read(socket.getInputStream());
            recorder.note(
                    "client gets for %s: %s", id, answer == null ? "the end of the connection" : answer.firstLine());
            return answer;
        } catch (java.io.IOException broken) {
            recorder.note("client gets for %s: %s", id, broken);
            return null;
        }
    }

    private int judge() {
        List<String> violations = answers.entrySet().stream()
                .filter(answer -> PROMISES.contains(answer.getValue()) && runs.containsKey(answer.getKey()))
                .map(answer -> answer.getKey() + " was answered " + answer.getValue() + " and has run")
                .sorted()
                .toList();
        violations.forEach(violation -> recorder.note("REFUSED: %s", violation));
        long doubled = runsOfOrder.values().stream().filter(count -> count > 1).count();
        recorder.result(
                "%d attempts, %d runs, %d failed by the grey engine; answered as not run though they ran: %d;"
                        + " orders that were booked twice: %d",
                answers.size(), runs.size(), failed.get(), violations.size(), doubled);
        if (answers.values().stream().filter(status -> status == 200).count() < answers.size() / 2) {
            recorder.result("most bookings were not served");
            return Kit.NOT_RUN;
        }
        return violations.isEmpty() ? Kit.HELD : Kit.BROKEN;
    }
}
