package org.baobabcart.router.gateway;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.baobabcart.model.gateway.VersionOrder;
import org.baobabcart.policy.version.PendingAttempt;
import org.baobabcart.policy.version.VersionMoveSchedule;
import org.baobabcart.policy.version.VersionOutcomeKey;
import org.baobabcart.policy.version.VersionOutcomeRecorder;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.platform.ObjectFollower;
import org.baobabcart.router.testing.InMemoryObjectStore;
import org.baobabcart.router.testing.ManualTimerService;

/** Routers that follow one order, and requests that meet any of them, in driven time. Not thread-safe. */
final class SimulatedFleet {
    private static final String OLD = "v1";
    private static final List<String> WORKS =
            List.of("drafts small", "questions small", "questions large", "notes small");
    private static final double NANOS_PER_MILLI = 1e6;

    private final InMemoryObjectStore store = InMemoryObjectStore.create();
    private final ManualTimerService timers = ManualTimerService.create();
    private final Random random;
    private final VersionMoveSchedule move;
    private final Duration pause;
    private final List<Router> routers;
    private SimulatedVersion target = SimulatedVersion.usual();
    private long requests;
    private long exposed;

    private record Router(
            String name, Blackboard blackboard, VersionOutcomeRecorder evidence, VersionOrderController controller) {}

    private SimulatedFleet(int routers, double requestsPerSecond, double exposure, long seed) {
        this.random = new Random(seed);
        this.move = VersionMoveSchedule.ofExposure(exposure);
        this.pause = Duration.ofNanos((long) (Duration.ofSeconds(1).toNanos() / requestsPerSecond));
        this.routers =
                IntStream.range(0, routers).mapToObj(this::router).collect(Collectors.toCollection(ArrayList::new));
    }

    static SimulatedFleet of(int routers, double requestsPerSecond, double exposure, long seed) {
        return new SimulatedFleet(routers, requestsPerSecond, exposure, seed);
    }

    private Router router(int index) {
        Blackboard blackboard = Blackboard.create();
        VersionOutcomeRecorder evidence = VersionOutcomeRecorder.create();
        ObjectFollower.Parts parts = new ObjectFollower.Parts(
                store,
                Runnable::run,
                timers,
                new Random(random.nextLong()),
                (type, request, fields) -> {},
                new MetricRegistry());
        String name = "router-" + index;
        VersionOrderController controller = VersionOrderController.create(
                name, new TestOrderCodec(), parts, blackboard, (type, request, fields) -> {}, move, evidence);
        controller.start();
        return new Router(name, blackboard, evidence, controller);
    }

    /** Orders the move of the service to a version that answers like this. */
    void order(Duration length, SimulatedVersion version) {
        target = version;
        store.create(TestOrderCodec.object(length)).await().indefinitely();
    }

    /** Sends requests for as long. */
    void run(Duration length) {
        long end = timers.nanoTime() + length.toNanos();
        while (timers.nanoTime() < end) {
            request(routers.get(random.nextInt(routers.size())));
            timers.advance(pause);
        }
    }

    private void request(Router router) {
        requests++;
        VersionOutcomeKey key =
                new VersionOutcomeKey(TestOrderCodec.SERVICE, version(router), WORKS.get(random.nextInt(WORKS.size())));
        boolean onTarget = key.version().equals(TestOrderCodec.TARGET);
        if (onTarget) {
            exposed++;
        }
        double millis = (onTarget ? target : SimulatedVersion.usual().withSpread(target.spread())).millis(random);
        PendingAttempt attempt = router.evidence().recordSent(key, timers.nanoTime());
        timers.after("answer", Duration.ofNanos((long) (millis * NANOS_PER_MILLI)), () -> {
            router.evidence().recordStart(attempt, timers.nanoTime());
            router.evidence().recordAnswer(key);
        });
    }

    private String version(Router router) {
        double point = random.nextDouble();
        return router.blackboard().read(Sections.VERSION_ORDERS).stream()
                .filter(followed -> point < move.share(followed, timers.nanoTime()))
                .map(followed -> followed.order().target())
                .findFirst()
                .orElse(OLD);
    }

    /** Ends the router that reviews the order, without a word to the others. */
    void loseReviewer() {
        String name = order().progress().reviewer();
        Router reviewer = routers.stream()
                .filter(router -> router.name().equals(name))
                .findFirst()
                .orElseThrow();
        reviewer.controller().stop().await().indefinitely();
        routers.remove(reviewer);
    }

    /** The platform's store, for faults. */
    InMemoryObjectStore store() {
        return store;
    }

    /** The state of the order in the store. */
    VersionOrder.State state() {
        return order().state();
    }

    private VersionOrder order() {
        return new TestOrderCodec()
                .order(store.read(TestOrderCodec.KIND, TestOrderCodec.SERVICE)
                        .await()
                        .indefinitely());
    }

    /** All requests so far. */
    long requests() {
        return requests;
    }

    /** Those that were sent to the target. */
    long exposed() {
        return exposed;
    }
}
