import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A new version of the configuration sets the time that a connection may be idle to 0, so that none is kept for a second request. The clients, which
 * reuse connections within four fifths of that time, open one for each request from the beginning on.
 */
public final class NoIdleTime {
    private static final int ENGINES = 4;
    private static final int CLIENTS = 8;
    private static final int TIMEOUT_MILLIS = 1_000;
    private static final int GRACE_MILLIS = 500;
    private static final int CONFIG_MILLIS = 2_000;
    private static final long CHANGE_AT_MILLIS = 3_000;
    private static final long LENGTH_MILLIS = 14_000;
    /** Fewer requests say nothing. */
    private static final int MIN_COUNTED = 8;

    private final Recorder recorder;
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final List<Outcome> outcomes = new ArrayList<>();
    private volatile long countedFromNanos;
    private long endNanos;

    /** A request: when it was sent, and when its whole answer was there; zero if it never was. */
    private record Outcome(String id, long sentNanos, long answeredNanos, int status) {}

    private NoIdleTime(Recorder recorder) {
        this.recorder = recorder;
    }

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments, (recorder, trouble) -> new NoIdleTime(recorder).run(trouble));
    }

    private int run(boolean trouble) throws Exception {
        Store store = new Store();
        store.put("config", "main", configuration(7, 15_000));
        for (int index = 0; index < ENGINES; index++) {
            Engine engine = new Engine("i-" + index, this::work);
            Kit.register(store, engine, index % 2 == 0 ? "ke-central-a" : "ke-central-b", Kit.SLOTS, 1);
        }
        List<Router> routers = List.of(
                new Router("frontend-a-1", "ke-central-a", store), new Router("frontend-b-1", "ke-central-b", store));
        for (Router router : routers) {
            router.awaitReady();
        }
        long beginNanos = System.nanoTime();
        endNanos = beginNanos + LENGTH_MILLIS * 1_000_000;
        countedFromNanos = beginNanos + (CHANGE_AT_MILLIS + CONFIG_MILLIS) * 1_000_000;
        List<Thread> clients = new ArrayList<>();
        for (int index = 0; index < CLIENTS; index++) {
            int client = index;
            clients.add(Kit.start(() -> book(client, routers.get(client % routers.size()))));
        }
        Kit.pause(CHANGE_AT_MILLIS);
        if (trouble) {
            store.put("config", "main", configuration(9, 0));
            countedFromNanos = System.nanoTime() + CONFIG_MILLIS * 1_000_000L;
            recorder.note("the store has acknowledged version 9, with idleTimeoutMs 0");
        }
        for (Thread client : clients) {
            client.join();
        }
        return judge();
    }

    private static ObjectNode configuration(int version, int idleTimeoutMillis) {
        ObjectNode configuration = Kit.configuration(version);
        Kit.route(configuration, "book", "non_idempotent", 2, TIMEOUT_MILLIS);
        Kit.tenant(configuration, "hule930", "n2ctnfzs989anu6wsjnb");
        ((ObjectNode) configuration.get("limits")).put("idleTimeoutMs", idleTimeoutMillis);
        return configuration;
    }

    private void work(Engine engine, Message request, OutputStream output) throws IOException, InterruptedException {
        String id = request.header("Attempt-Id");
        ran.add(id);
        recorder.note("engine %s runs %s", engine.id, id);
        Thread.sleep(30);
        engine.answer(output, request, "200 OK", "cut");
    }

    private void book(int client, Router router) {
        for (int number = 0; System.nanoTime() < endNanos; number++) {
            String id = "book-" + client + "-" + number;
            Outcome outcome = send(router, id);
            synchronized (outcomes) {
                outcomes.add(outcome);
            }
            recorder.note(
                    "client gets for %s: %s", id, outcome.answeredNanos() == 0 ? "nothing" : "status " + outcome.status());
            Kit.pause(100);
        }
    }

    private Outcome send(Router router, String id) {
        recorder.note("client sends %s to %s", id, router.name);
        long sentNanos = System.nanoTime();
        try (Socket socket = new Socket("127.0.0.1", router.port)) {
            socket.setSoTimeout(TIMEOUT_MILLIS + GRACE_MILLIS + 100);
            Engine.write(
                    socket.getOutputStream(),
                    Kit.request("POST", "/book/1", id, "n2ctnfzs989anu6wsjnb", TIMEOUT_MILLIS, "one pane"));
            Message answer = Message.read(socket.getInputStream());
            boolean whole = answer != null && answer.complete;
            return new Outcome(id, sentNanos, whole ? System.nanoTime() : 0, whole ? answer.status() : 0);
        } catch (IOException silent) {
            return new Outcome(id, sentNanos, 0, 0);
        }
    }

    private int judge() {
        List<Outcome> counted = outcomes.stream()
                .filter(outcome -> outcome.sentNanos() - countedFromNanos > 0)
                .toList();
        List<Outcome> late = counted.stream()
                .filter(outcome -> isUnansweredAt(outcome, TIMEOUT_MILLIS))
                .toList();
        List<Outcome> never = late.stream()
                .filter(outcome -> isUnansweredAt(outcome, TIMEOUT_MILLIS + GRACE_MILLIS))
                .toList();
        never.forEach(outcome -> recorder.note(
                "CONFIG: %s, sent later than configMs after the acknowledgement, has no answer; an engine ran it: %s",
                outcome.id(), ran.contains(outcome.id())));
        recorder.result(
                "%d requests, %d of them sent later than configMs after the change; unanswered at their route's timeoutMs: %d;"
                        + " half a second later: %d; run by an engine and never answered: %d",
                outcomes.size(), counted.size(), late.size(), never.size(),
                never.stream().filter(outcome -> ran.contains(outcome.id())).count());
        boolean served = outcomes.stream()
                .anyMatch(outcome -> outcome.status() == 200 && outcome.sentNanos() - countedFromNanos < 0);
        if (!served || counted.size() < MIN_COUNTED) {
            return Kit.NOT_RUN;
        }
        return late.size() >= MIN_COUNTED && 2 * never.size() > late.size() ? Kit.BROKEN : Kit.HELD;
    }

    private static boolean isUnansweredAt(Outcome outcome, int millis) {
        return outcome.answeredNanos() == 0
                || outcome.answeredNanos() - outcome.sentNanos() > millis * 1_000_000L;
    }
}
