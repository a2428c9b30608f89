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
import org.baobabcart.router.platform.ObjectInformer;
import org.baobabcart.router.testing.InMemoryObjectStore;
import org.baobabcart.router.testing.ManualTimerService;

/** Simulates routers that follow one order and requests sent to random routers, in manual time. Not thread-safe. */
final class SimulatedFleet {
    private static final String OLD_VERSION = "v1";
    private static final List<String> REQUEST_CLASSES =
            List.of("drafts small", "questions small", "questions large", "notes small");
    private static final double NANOS_PER_MILLI = 1e6;

    private final InMemoryObjectStore store = InMemoryObjectStore.create();
    private final ManualTimerService timers = ManualTimerService.create();
    private final Random random;
    private final VersionMoveSchedule move;
    private final Duration requestInterval;
    private final List<Router> routers;
    private SimulatedVersion target = SimulatedVersion.typical();
    private long requests;
    private long requestsToTarget;

    private record Router(
            String name,
            Blackboard blackboard,
            VersionOutcomeRecorder outcomeRecorder,
            VersionOrderController controller) {}

    private SimulatedFleet(int routers, double requestsPerSecond, double exposure, long seed) {
        this.random = new Random(seed);
        this.move = VersionMoveSchedule.ofExposure(exposure);
        this.requestInterval = Duration.ofNanos((long) (Duration.ofSeconds(1).toNanos() / requestsPerSecond));
        this.routers =
                IntStream.range(0, routers).mapToObj(this::router).collect(Collectors.toCollection(ArrayList::new));
    }

    static SimulatedFleet of(int routers, double requestsPerSecond, double exposure, long seed) {
        return new SimulatedFleet(routers, requestsPerSecond, exposure, seed);
    }

    private Router router(int index) {
        Blackboard blackboard = Blackboard.create();
        VersionOutcomeRecorder outcomeRecorder = VersionOutcomeRecorder.create();
        ObjectInformer.Dependencies dependencies = new ObjectInformer.Dependencies(
                store,
                Runnable::run,
                timers,
                new Random(random.nextLong()),
                (type, request, fields) -> {},
                new MetricRegistry());
        String name = "router-" + index;
        VersionOrderController controller = VersionOrderController.create(
                name,
                new TestOrderCodec(),
                dependencies,
                blackboard,
                (type, request, fields) -> {},
                move,
                outcomeRecorder);
        controller.start();
        return new Router(name, blackboard, outcomeRecorder, controller);
    }

    /** Creates an order that moves the service to a version with the given response times. */
    void order(Duration duration, SimulatedVersion version) {
        target = version;
        store.create(TestOrderCodec.object(duration)).await().indefinitely();
    }

    /** Sends requests for the given time. */
    void run(Duration duration) {
        long end = timers.nanoTime() + duration.toNanos();
        while (timers.nanoTime() < end) {
            request(routers.get(random.nextInt(routers.size())));
            timers.advance(requestInterval);
        }
    }

    private void request(Router router) {
        requests++;
        VersionOutcomeKey key = new VersionOutcomeKey(
                TestOrderCodec.SERVICE, version(router), REQUEST_CLASSES.get(random.nextInt(REQUEST_CLASSES.size())));
        boolean isOnTarget = key.version().equals(TestOrderCodec.TARGET);
        if (isOnTarget) {
            requestsToTarget++;
        }
        double millis = (isOnTarget ? target : SimulatedVersion.typical().withSpread(target.spread())).millis(random);
        PendingAttempt attempt = router.outcomeRecorder().recordSent(key, timers.nanoTime());
        timers.after("answer", Duration.ofNanos((long) (millis * NANOS_PER_MILLI)), () -> {
            router.outcomeRecorder().recordStart(attempt, timers.nanoTime());
            router.outcomeRecorder().recordAnswer(key);
        });
    }

    private String version(Router router) {
        double sessionHash = random.nextDouble();
        return router.blackboard().read(Sections.VERSION_ORDERS).stream()
                .filter(tracked -> sessionHash < move.share(tracked, timers.nanoTime()))
                .map(tracked -> tracked.order().target())
                .findFirst()
                .orElse(OLD_VERSION);
    }

    /** Stops the router that reviews the order, without notice to the other routers. */
    void stopReviewer() {
        String name = order().progress().reviewer();
        Router reviewer = routers.stream()
                .filter(router -> router.name().equals(name))
                .findFirst()
                .orElseThrow();
        reviewer.controller().stop().await().indefinitely();
        routers.remove(reviewer);
    }

    /** Returns the platform's store, for fault injection. */
    InMemoryObjectStore store() {
        return store;
    }

    /** Returns the state of the order in the store. */
    VersionOrder.State state() {
        return order().state();
    }

    private VersionOrder order() {
        return new TestOrderCodec()
                .order(store.read(TestOrderCodec.KIND, TestOrderCodec.SERVICE)
                        .await()
                        .indefinitely());
    }

    /** Returns the number of requests so far. */
    long requests() {
        return requests;
    }

    /** Returns the number of requests sent to the target so far. */
    long requestsToTarget() {
        return requestsToTarget;
    }
}
