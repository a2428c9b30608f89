import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A new version of the configuration adds a route for nightly work, far behind all others in priority. Clients book on kept connections all the while;
 * others send on the new route as soon as the version has been in force for some time.
 */
public final class LastPriority {
    private static final int ENGINES = 2;
    private static final long WORK_MILLIS = 60;
    private static final int DEADLINE_MILLIS = 5_000;
    private static final int CONFIG_MILLIS = 2_000;
    private static final int BOOKING_CLIENTS = 16;
    private static final int NIGHTLY_CLIENTS = 20;
    private static final long LENGTH_MILLIS = 14_000;
    private static final int LAST_PRIORITY = 1_000_000;
    /** The rule on kept connections allows three. */
    private static final int LOST_ALLOWED = 3;

    private final Recorder recorder;
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final List<String> lost = new ArrayList<>();
    private final Map<Integer, AtomicInteger> answers = new ConcurrentHashMap<>();
    /** An engine runs as many requests at once as it has slots, and queues the others. */
    private final Map<String, Semaphore> slots = new ConcurrentHashMap<>();
    private volatile long endNanos;
    private volatile boolean over;

    private LastPriority(Recorder recorder) {
        this.recorder = recorder;
    }

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments, (recorder, trouble) -> new LastPriority(recorder).run(trouble));
    }

    private int run(boolean trouble) throws Exception {
        Store store = new Store();
        store.put("config", "main", configuration(7));
        for (int index = 0; index < ENGINES; index++) {
            Engine engine = new Engine("i-" + index, this::work);
            Kit.register(store, engine, index % 2 == 0 ? "ke-central-a" : "ke-central-b", Kit.SLOTS, 1);
        }
        List<Router> routers = List.of(
                new Router("frontend-a-1", "ke-central-a", store), new Router("frontend-b-1", "ke-central-b", store));
        for (Router router : routers) {
            router.awaitReady();
        }
        endNanos = System.nanoTime() + LENGTH_MILLIS * 1_000_000;
        List<Thread> clients = new ArrayList<>();
        for (int index = 0; index < BOOKING_CLIENTS; index++) {
            int client = index;
            clients.add(Kit.start(() -> client(client, routers, "book")));
        }
        Kit.pause(3_000);
        if (trouble) {
            ObjectNode next = configuration(9);
            Kit.route(next, "nightly", "non_idempotent", LAST_PRIORITY, DEADLINE_MILLIS);
            store.put("config", "main", next);
            recorder.note("the store has acknowledged version 9, which adds the route nightly");
        }
        Kit.pause(CONFIG_MILLIS + 500);
        for (int index = 0; index < NIGHTLY_CLIENTS; index++) {
            int client = BOOKING_CLIENTS + index;
            clients.add(Kit.start(() -> client(client, routers, trouble ? "nightly" : "book")));
        }
        for (Thread client : clients) {
            client.join();
        }
        over = true;
        List<String> ended = new ArrayList<>();
        for (Router router : routers) {
            if (!router.process.isAlive()) {
                ended.add(router.name + " ended by itself with exit code " + router.process.exitValue() + ": "
                        + router.lastWords());
            }
        }
        return judge(ended);
    }

    private static ObjectNode configuration(int version) {
        ObjectNode configuration = Kit.configuration(version);
        Kit.route(configuration, "book", "non_idempotent", 2, DEADLINE_MILLIS);
        Kit.tenant(configuration, "hule930", "n2ctnfzs989anu6wsjnb");
        return configuration;
    }

    private void work(Engine engine, Message request, OutputStream output) throws IOException, InterruptedException {
        String id = request.header("Attempt-Id");
        Semaphore free = slots.computeIfAbsent(engine.id, ignored -> new Semaphore(Kit.SLOTS, true));
        free.acquire();
        try {
            ran.add(id);
            recorder.note("engine %s runs %s", engine.id, id);
            Thread.sleep(WORK_MILLIS);
        } finally {
            free.release();
        }
        engine.answer(output, request, "200 OK", "done");
    }

    /** Sends requests one after the other on a kept connection, and opens a new one when it has ended. */
    private void client(int client, List<Router> routers, String route) {
        Router router = routers.get(client % routers.size());
        int number = 0;
        while (System.nanoTime() < endNanos) {
            try (Socket socket = new Socket("127.0.0.1", router.port)) {
                socket.setSoTimeout(DEADLINE_MILLIS + 1_000);
                int carried = 0;
                while (System.nanoTime() < endNanos) {
                    String id = route + "-" + client + "-" + number++;
                    if (!exchange(socket, router, route, id, carried++)) {
                        break;
                    }
                }
            } catch (IOException refused) {
                Kit.pause(300);
            }
        }
    }

    /** Returns whether the connection can carry another request. */
    private boolean exchange(Socket socket, Router router, String route, String id, int carried) {
        recorder.note("client sends %s to %s as request %d of its connection", id, router.name, carried + 1);
        Message answer = null;
        String end = "the end of the connection";
        boolean gaveUp = false;
        try {
            Engine.write(
                    socket.getOutputStream(),
                    Kit.request("POST", "/" + route + "/1", id, "n2ctnfzs989anu6wsjnb", DEADLINE_MILLIS, "x"));
            InputStream input = socket.getInputStream();
            answer = Message.read(input);
        } catch (SocketTimeoutException late) {
            // The client ends this connection, not the router.
            gaveUp = true;
            end = "nothing in time";
        } catch (IOException broken) {
            end = broken.getMessage();
        }
        recorder.note("client gets for %s: %s", id, answer == null ? end : answer.firstLine());
        if (answer != null) {
            answers.computeIfAbsent(answer.status(), status -> new AtomicInteger()).incrementAndGet();
            return !answer.header("Connection").equalsIgnoreCase("close");
        }
        if (carried > 0 && !gaveUp && !over) {
            synchronized (lost) {
                lost.add(id);
            }
        }
        return false;
    }

    private int judge(List<String> ended) {
        List<String> violations = lost.stream().filter(ran::contains).sorted().toList();
        violations.forEach(
                id -> recorder.note("LOST: %s was passed on to a sound engine; its kept connection ended without an answer", id));
        ended.forEach(recorder::result);
        recorder.result(
                "answers by status %s; requests of kept connections that an engine ran and that got no answer: %d (allowed %d)",
                answers, violations.size(), LOST_ALLOWED);
        if (!answers.containsKey(200)) {
            return Kit.NOT_RUN;
        }
        return violations.size() > LOST_ALLOWED ? Kit.BROKEN : Kit.HELD;
    }
}
