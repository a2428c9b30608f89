import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import review.Case;
import review.Client;
import review.Config;
import review.Engine;
import review.Http;
import review.Router;
import review.Threads;

/** The router's open connections to the store go silent. An engine leaves half a second later, and its entry is removed. */
public final class Removal {
    private static final long DRAIN_MILLIS = 2_000;
    private static final long STABILITY_WINDOW_MILLIS = 3_000;
    /** The engine serves for drainMs after its entry was removed and a little longer, then it exits. */
    private static final long EXIT_AFTER_MILLIS = DRAIN_MILLIS + 1_600;

    private static final Map<String, Long> SENT = new ConcurrentHashMap<>();
    private static final Map<String, String> ANSWERS = new ConcurrentHashMap<>();
    private static volatile boolean ending;

    public static void main(String[] arguments) throws Exception {
        Case.main("review/2", Removal::run);
    }

    private static boolean run(Case run) throws Exception {
        List<Engine> engines = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            engines.add(run.engine(new Engine(run.record, "i-" + index, "desk", 100)));
        }
        run.store.put("config", "main", Config.of(7));
        Router router = run.router("127.0.0.1", "frontend-a-1");
        Threads.start("bookings", () -> {
            for (int number = 0; !ending; number++) {
                String id = "book-" + number;
                Threads.start(id, () -> book(run, router, id));
                Thread.sleep(20);
            }
        });
        Threads.sleep(5_000);
        run.store.awaitNewWatch("servers");
        if (Case.TROUBLE) {
            run.store.silenceOpenConnections();
        }
        long silent = run.record.millis();
        run.record.line(Case.TROUBLE ? "the open connections of the store go silent" : "no connection goes silent");
        Threads.sleep(500);
        Engine leaving = engines.get(0);
        run.store.remove("servers", leaving.name);
        long removed = run.record.millis();
        run.record.line("the store acknowledges the removal of " + leaving.name);
        Threads.sleep(EXIT_AFTER_MILLIS);
        leaving.close();
        long exited = run.record.millis();
        run.record.line(leaving.name + " exits");
        Threads.sleep(2_000);
        ending = true;
        Threads.sleep(2_000);

        long inTouch = silent + STABILITY_WINDOW_MILLIS;
        long lateFrom = removed + DRAIN_MILLIS;
        int late = 0;
        int lost = 0;
        for (Engine.Run each : leaving.runs) {
            boolean isLate = each.millis() > lateFrom && SENT.getOrDefault(each.id(), 0L) > inTouch;
            late += isLate ? 1 : 0;
            lost += isLate && !ANSWERS.getOrDefault(each.id(), "none").equals("200") ? 1 : 0;
        }
        if (leaving.runs.stream().noneMatch(each -> each.millis() < removed)) {
            throw new IllegalStateException("the engine got no booking before it left");
        }
        run.say("the machine is in touch again at " + inTouch + " ms, drainMs ends at " + lateFrom + " ms, the engine exits at "
                + exited + " ms");
        run.say("bookings that reached " + leaving.name + " later than both: " + late + ", of these not answered with 200: " + lost);
        return late == 0;
    }

    private static void book(Case run, Router router, String id) {
        SENT.put(id, run.record.millis());
        Http.Message answer =
                Client.call(router, 3_000, Client.request("POST", "/book/x", id, "Deadline-Ms: 1500\r\n", "{}".getBytes()));
        String text = answer == null ? "no answer" : Integer.toString(answer.status());
        ANSWERS.put(id, text);
        run.record.line("client has " + text + " for " + id);
    }
}
