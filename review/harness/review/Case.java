package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/** One run of a case: its record, its temporary folder, and the stand-ins and routers that it starts. */
public final class Case {
    /** Whether the disruption is played. */
    public static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** After this time a run is given up; a run may last 120 s. */
    private static final long MAX_MILLIS = 110_000;

    /** The steps of a case; returns whether the rule held. */
    public interface Steps {
        boolean run(Case run) throws Exception;
    }

    public final Record record;
    public final Path root = Path.of("").toAbsolutePath();
    public final Path folder;
    public final Store store;
    private final List<Router> routers = new CopyOnWriteArrayList<>();

    private Case(Path caseFolder) throws IOException {
        record = new Record(caseFolder.resolve("record.txt"));
        folder = Files.createTempDirectory("review");
        store = new Store(record);
    }

    /** Runs the steps, ends all processes and exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    public static void main(String caseFolder, Steps steps) throws Exception {
        int result = 2;
        Case run = new Case(Path.of(caseFolder));
        Threads.start("time-limit", () -> {
            Thread.sleep(MAX_MILLIS);
            run.record.line("given up after " + MAX_MILLIS + " ms");
            run.record.line("exit 2");
            for (Router router : run.routers) {
                router.close();
            }
            Runtime.getRuntime().halt(2);
        });
        try {
            run.record.line(TROUBLE ? "with the disruption" : "TROUBLE=0: without the disruption");
            result = steps.run(run) ? 0 : 1;
        } catch (Throwable failure) {
            run.record.line("could not run: " + failure);
            failure.printStackTrace();
        } finally {
            for (Router router : run.routers) {
                router.close();
            }
            try (Stream<Path> files = Files.walk(run.folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
            run.record.line("exit " + result);
            run.record.close();
        }
        System.out.println("exit " + result);
        System.exit(result);
    }

    public Engine engine(Engine engine) {
        store.put("servers", engine.name, engine.entry("ready", 1, "v1"));
        return engine;
    }

    /** Starts a router and waits until the platform's readiness question gets 200. */
    public Router router(String host, String name) throws IOException {
        Router router = new Router(root, folder, host, name, store.address());
        routers.add(router);
        router.start();
        router.awaitReady();
        record.line(name + " is ready");
        return router;
    }

    /** Writes a line to the record and to standard output. */
    public void say(String text) {
        record.line(text);
        System.out.println(text);
    }
}
