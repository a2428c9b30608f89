import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Streams that may be resumed, while one of seven engines crashes. The ids of the events are times in nanoseconds, which increase and have 19
 * digits, as those of any clock that counts them since 1970.
 */
public final class PiecesTwice {
    private static final int ENGINES = 7;
    private static final int CLIENTS = 14;
    private static final int STREAMS = 5;
    private static final int EVENTS = 20;
    private static final long PAUSE_MILLIS = 60;
    private static final int DEADLINE_MILLIS = 20_000;
    private static final long FIRST_ID = 1_796_000_000_000_000_000L;
    private static final long ID_STEP = 1_000_000;
    private static final long CRASH_MILLIS = 3_000;
    private static final long DOWN_MILLIS = 4_500;
    private static final Pattern EVENT = Pattern.compile("id: ([0-9]+)\ndata: token ([0-9]+)\n\n");

    private final Recorder recorder;
    private final List<String> violations = new ArrayList<>();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger broken = new AtomicInteger();
    private final AtomicInteger resumed = new AtomicInteger();
    private final AtomicInteger startedAgain = new AtomicInteger();
    private final java.util.Set<String> begun = java.util.concurrent.ConcurrentHashMap.newKeySet();

    private PiecesTwice(Recorder recorder) {
        this.recorder = recorder;
    }

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments, (recorder, trouble) -> new PiecesTwice(recorder).run(trouble));
    }

    private int run(boolean trouble) throws Exception {
        Store store = new Store();
        ObjectNode configuration = Kit.configuration(7);
        Kit.route(configuration, "quote", "streaming", 0, DEADLINE_MILLIS)
                .put("streamResumption", true)
                .put("gapTargetMs", 1_000)
                .put("sessionAffinity", true);
        Kit.tenant(configuration, "hule930", "n2ctnfzs989anu6wsjnb");
        store.put("config", "main", configuration);
        List<Engine> engines = new ArrayList<>();
        for (int index = 0; index < ENGINES; index++) {
            engines.add(new Engine("i-" + index, this::generate));
            Kit.register(store, engines.get(index), zone(index), 64, 1);
        }
        List<Router> routers = List.of(
                new Router("frontend-a-1", "ke-central-a", store), new Router("frontend-b-1", "ke-central-b", store));
        for (Router router : routers) {
            router.awaitReady();
        }
        if (trouble) {
            Kit.start(() -> crash(store, engines.get(2)));
        }
        List<Thread> clients = new ArrayList<>();
        for (int index = 0; index < CLIENTS; index++) {
            int client = index;
            clients.add(Kit.start(() -> readAll(client, routers.get(client % routers.size()))));
        }
        for (Thread client : clients) {
            client.join();
        }
        return judge(trouble);
    }

    private static String zone(int index) {
        return index % 2 == 0 ? "ke-central-a" : "ke-central-b";
    }

    /** Crashes an engine; its entry is removed after three beats of silence, and another incarnation is there after some seconds. */
    private void crash(Store store, Engine engine) {
        Kit.pause(CRASH_MILLIS);
        try {
            recorder.note("engine %s crashes", engine.id);
            engine.crash();
            Kit.pause(3_600);
            store.remove("servers", engine.id);
            Kit.pause(DOWN_MILLIS - 3_600);
            Engine next = new Engine(engine.id + "-again", this::generate);
            Kit.register(store, next, zone(2), 64, 1);
            recorder.note("engine %s is there", next.id);
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    /** Writes the events of a stream, or those after Last-Event-Id; an event has the same id and data in each run. */
    private void generate(Engine engine, Message request, OutputStream output) throws IOException, InterruptedException {
        String id = request.header("Attempt-Id");
        String last = request.header("Last-Event-Id");
        long first = last.isEmpty() ? 0 : (Long.parseLong(last) - FIRST_ID) / ID_STEP + 1;
        boolean isFirstRun = begun.add(id);
        if (!isFirstRun) {
            (last.isEmpty() ? startedAgain : resumed).incrementAndGet();
        }
        recorder.note("engine %s runs %s, Last-Event-Id: %s", engine.id, id, last.isEmpty() ? "none" : last);
        Engine.write(
                output,
                engine.head(request, "200 OK") + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (long event = first; event < EVENTS; event++) {
            String text = "id: " + (FIRST_ID + event * ID_STEP) + "\ndata: token " + event + "\n\n";
            Engine.write(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            Thread.sleep(PAUSE_MILLIS);
        }
        Engine.write(output, "0\r\n\r\n");
    }

    private void readAll(int client, Router router) {
        for (int number = 0; number < STREAMS; number++) {
            String id = "stream-" + client + "-" + number;
            recorder.note("client sends %s to %s", id, router.name);
            try (Socket socket = new Socket("127.0.0.1", router.port)) {
                socket.setSoTimeout(DEADLINE_MILLIS);
                Engine.write(
                        socket.getOutputStream(),
                        Kit.request("POST", "/quote/1", id, "n2ctnfzs989anu6wsjnb", DEADLINE_MILLIS, "pane of " + id));
                check(id, Message.read(socket.getInputStream()));
            } catch (IOException failure) {
                recorder.note("client gets for %s: %s", id, failure);
                broken.incrementAndGet();
            }
        }
    }

    private void check(String id, Message answer) {
        if (answer == null || answer.status() != 200) {
            recorder.note("client gets for %s: %s", id, answer == null ? "nothing" : answer.firstLine());
            broken.incrementAndGet();
            return;
        }
        List<Integer> pieces = new ArrayList<>();
        Matcher events = EVENT.matcher(answer.text());
        while (events.find()) {
            pieces.add(Integer.parseInt(events.group(2)));
        }
        recorder.note("client gets for %s: 200, pieces %s, %s", id, pieces, answer.complete ? "complete" : "broken off");
        (answer.complete ? whole : broken).incrementAndGet();
        for (int index = 0; index < pieces.size(); index++) {
            int piece = pieces.get(index);
            if (piece != index) {
                add("%s: piece %d comes %s", id, piece, pieces.indexOf(piece) < index ? "twice" : "where " + index + " is due");
                return;
            }
        }
        if (answer.complete && pieces.size() < EVENTS) {
            add("%s: ends as complete after %d pieces", id, pieces.size());
        }
    }

    private synchronized void add(String text, Object... values) {
        violations.add(String.format(text, values));
        recorder.note("ORDER: " + text, values);
    }

    private int judge(boolean trouble) {
        recorder.result(
                "%d streams complete, %d broken off; runs that went on after Last-Event-Id: %d, that began anew: %d; streams with"
                        + " pieces missing, twice or out of order: %d",
                whole.get(), broken.get(), resumed.get(), startedAgain.get(), violations.size());
        boolean noStreamThere = trouble && resumed.get() + startedAgain.get() == 0;
        if (noStreamThere || whole.get() < CLIENTS * STREAMS / 2) {
            return Kit.NOT_RUN;
        }
        return violations.isEmpty() ? Kit.HELD : Kit.BROKEN;
    }
}
