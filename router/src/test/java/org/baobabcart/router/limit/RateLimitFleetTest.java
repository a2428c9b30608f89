package org.baobabcart.router.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.limit.ClaimPolicy;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.platform.ObjectInformer;
import org.baobabcart.router.testing.InMemoryObjectStore;
import org.baobabcart.router.testing.ManualTimerService;
import org.baobabcart.router.testing.PausableTimers;
import org.baobabcart.router.timeline.Timeline;
import org.baobabcart.router.upstream.RateLimitNotice;
import org.baobabcart.router.upstream.UpstreamNotice;
import org.baobabcart.router.upstream.UpstreamNotices;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays arrivals at routers and answers of one engine that limits its rate, and counts as the engine does. */
class RateLimitFleetTest {
    private static final double LIMIT = 1.3;
    private static final double ARRIVALS_PER_SECOND = 12;
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration LATENCY = Duration.ofMillis(300);
    private static final Duration COUNTED_WINDOW = Duration.ofSeconds(4);
    /** One and a half times the limit and five more requests, from routers that were told half a second before. */
    private static final int ALLOWED = (int) (1.5 * LIMIT * COUNTED_WINDOW.toSeconds()) + 5;

    private static final Duration TOLD_BEFORE = Duration.ofMillis(500);
    private static final Timeline TIMELINE = (type, request, fields) -> {};

    private final InMemoryObjectStore store = InMemoryObjectStore.create();
    private final ManualTimerService timers = ManualTimerService.create();
    private final Random random = new Random(3231);
    private final List<Router> routers = new ArrayList<>();
    private final List<Long> counted = new ArrayList<>();
    private final Deque<Answer> answers = new ArrayDeque<>();
    private VirtualMachine engine = engine(1);
    private Optional<Double> limit = Optional.empty();
    private boolean isObeyed = true;
    private int arrived;

    private record Answer(
            Router router, VirtualMachine engine, RateLimitNotice notice, long sentNanos, long dueNanos) {}

    @ParameterizedTest
    @ValueSource(ints = {4, 37, 63, 450})
    void routersThatDoNotKnowTheLimitExceedIt(int count) {
        start(count);
        isObeyed = false;
        limit = Optional.of(LIMIT);
        run(Duration.ofSeconds(count));
        print(count, "limit not obeyed");
        assertThat(mostInWindow(), greaterThan(ALLOWED));
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 37, 63, 450})
    void limitIsKeptAndUsedByAnyNumberOfRouters(int count) {
        start(count);
        run(Duration.ofSeconds(5));
        limit = Optional.of(LIMIT);
        run(Duration.ofSeconds(30));
        assertThat(mostInWindow(), lessThanOrEqualTo(ALLOWED));
        int before = arrived;
        run(Duration.ofSeconds(60));
        print(
                count,
                "claims, " + (arrived - before) / 60.0 + " a second of " + LIMIT + " used, " + store.writes()
                        + " writes in 95 s");
        assertThat((double) (arrived - before), greaterThanOrEqualTo(expectedShare(count) * 60));
    }

    private void print(int count, String policy) {
        System.out.println("rate limit: " + count + " routers, " + policy + ": at most " + mostInWindow()
                + " in 4 s, allowed " + ALLOWED);
    }

    /** The holder can send only what arrives at it. */
    private static double expectedShare(int routers) {
        return 0.5 * Math.min(LIMIT, ARRIVALS_PER_SECOND / routers);
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 37})
    void limitIsKeptWhenRoutersDieFreezeAndStart(int count) {
        start(count);
        limit = Optional.of(LIMIT);
        for (int round = 0; round < 12; round++) {
            run(Duration.ofSeconds(5 + random.nextInt(12)));
            Router affected = routers.get(random.nextInt(routers.size()));
            if (round % 3 == 0) {
                affected.setFrozen(true);
                run(Duration.ofSeconds(5 + random.nextInt(12)));
                affected.setFrozen(false);
            } else {
                affected.controller.stop().await().indefinitely();
                routers.remove(affected);
                routers.add(new Router(round % 3 == 1 ? affected.name : "new-" + round));
            }
        }
        assertThat(mostInWindow(), lessThanOrEqualTo(ALLOWED));
        int before = arrived;
        run(Duration.ofSeconds(30));
        assertThat(arrived, greaterThan(before));
    }

    /** The engine gets requests again before a claim that is not renewed could be taken over. */
    @ParameterizedTest
    @ValueSource(ints = {4, 37})
    void plannedStopHandsTheClaimOver(int count) {
        start(count);
        limit = Optional.of(LIMIT);
        run(Duration.ofSeconds(20));
        for (Router router : List.copyOf(routers)) {
            if (routers.size() == 1) {
                break;
            }
            router.controller.release();
            run(Duration.ofSeconds(1));
            router.controller.stop().await().indefinitely();
            routers.remove(router);
        }
        run(ClaimPolicy.TAKEOVER_SPREAD);
        int before = arrived;
        run(Duration.ofSeconds(4));
        assertThat(arrived, greaterThan(before));
        assertThat(mostInWindow(), lessThanOrEqualTo(ALLOWED));
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 37})
    void limitIsKeptWhileTheStoreIsAway(int count) {
        start(count);
        store.setOutage(true);
        limit = Optional.of(LIMIT);
        run(Duration.ofSeconds(20));
        store.setOutage(false);
        run(Duration.ofSeconds(20));
        store.setOutage(true);
        run(Duration.ofSeconds(30));
        store.setOutage(false);
        int before = arrived;
        run(Duration.ofSeconds(30));
        assertThat(mostInWindow(), lessThanOrEqualTo(ALLOWED));
        assertThat(arrived, greaterThan(before));
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 37, 450})
    void allRoutersSendAgainAfterTheEndOfTheLimit(int count) {
        start(count);
        limit = Optional.of(LIMIT);
        run(Duration.ofSeconds(30));
        limit = Optional.empty();
        run(Duration.ofSeconds(60 + count / 4));
        assertThat(routers.stream().filter(Router::isLimited).count(), is(0L));
        int before = arrived;
        run(Duration.ofSeconds(20));
        assertThat((double) (arrived - before), greaterThan(0.7 * 20 * ARRIVALS_PER_SECOND));
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 37})
    void limitEndsWithTheIncarnationThatNamedIt(int count) {
        start(count);
        limit = Optional.of(LIMIT);
        run(Duration.ofSeconds(20));
        limit = Optional.empty();
        engine = engine(2);
        routers.forEach(Router::publishEngine);
        run(Duration.ofSeconds(5));
        assertThat(routers.stream().filter(Router::isLimited).count(), is(0L));
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 37})
    void limitThatFallsIsKept(int count) {
        start(count);
        limit = Optional.of(8.0);
        run(Duration.ofSeconds(20));
        limit = Optional.of(LIMIT);
        run(Duration.ofSeconds(2));
        counted.clear();
        run(Duration.ofSeconds(30));
        assertThat(mostInWindow(), lessThanOrEqualTo(ALLOWED));
    }

    private void start(int count) {
        for (int index = 0; index < count; index++) {
            routers.add(new Router("router-" + index));
        }
    }

    private void run(Duration duration) {
        long end = timers.nanoTime() + duration.toNanos();
        double perStep =
                ARRIVALS_PER_SECOND * STEP.toMillis() / Duration.ofSeconds(1).toMillis();
        while (timers.nanoTime() - end < 0) {
            timers.advance(STEP);
            while (!answers.isEmpty() && answers.peek().dueNanos() <= timers.nanoTime()) {
                Answer answer = answers.poll();
                answer.router().receive(answer);
            }
            if (random.nextDouble() < perStep) {
                routers.get(random.nextInt(routers.size())).offer();
            }
        }
    }

    private int mostInWindow() {
        int most = 0;
        int first = 0;
        for (int last = 0; last < counted.size(); last++) {
            while (counted.get(last) - counted.get(first) > COUNTED_WINDOW.toNanos()) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    private static VirtualMachine engine(long incarnation) {
        return new VirtualMachine(
                        "engine",
                        VirtualMachine.Role.SERVICE,
                        "a",
                        VirtualMachine.State.LIVE,
                        "http://127.0.0.1:80",
                        "",
                        "v1",
                        "desk")
                .withCapacity(64, incarnation);
    }

    /** A router without its network: its limits and the controller that claims them. */
    private final class Router {
        private final String name;
        private final UpstreamNotices notices = UpstreamNotices.create(TIMELINE);
        private final Blackboard blackboard = Blackboard.create();
        private final PausableTimers ownTimers = new PausableTimers(timers);
        private final Deque<Runnable> heldBack = new ArrayDeque<>();
        private final RateLimitController controller;
        private Optional<Long> toldNanos = Optional.empty();
        private boolean isFrozen;

        private Router(String name) {
            this.name = name;
            this.controller = RateLimitController.create(
                    name,
                    new ObjectInformer.Dependencies(
                            store,
                            this::execute,
                            timers,
                            new Random(random.nextLong()),
                            TIMELINE,
                            new MetricRegistry()),
                    blackboard,
                    notices.rateLimits());
            publishEngine();
            controller.start();
        }

        private void setFrozen(boolean nowFrozen) {
            isFrozen = nowFrozen;
            ownTimers.setPaused(nowFrozen);
        }

        /** A frozen router does nothing until it goes on. */
        private void execute(Runnable task) {
            if (isFrozen) {
                heldBack.add(task);
                return;
            }
            while (!heldBack.isEmpty()) {
                heldBack.poll().run();
            }
            task.run();
        }

        private void publishEngine() {
            blackboard.write(Sections.VIRTUAL_MACHINES, List.of(engine));
        }

        private boolean isLimited() {
            return notices.rateLimits().isLimited(engine);
        }

        private void offer() {
            long now = timers.nanoTime();
            boolean isSent = !isFrozen && (!isObeyed || notices.rateLimits().tryTake(engine, now));
            if (!isSent) {
                return;
            }
            arrived++;
            if (toldNanos.filter(told -> now - told >= TOLD_BEFORE.toNanos()).isPresent() && limit.isPresent()) {
                counted.add(now);
            }
            RateLimitNotice notice = limit.map(RateLimitNotice::limited).orElse(RateLimitNotice.unlimited());
            answers.add(new Answer(this, engine, notice, now, now + LATENCY.toNanos()));
        }

        private void receive(Answer answer) {
            long now = timers.nanoTime();
            if (answer.notice().kind() == RateLimitNotice.Kind.LIMITED && toldNanos.isEmpty()) {
                toldNanos = Optional.of(now);
            }
            notices.update(answer.engine(), new UpstreamNotice(false, Optional.empty(), answer.notice()), now);
            notices.rateLimits().update(answer.engine(), answer.notice(), answer.sentNanos(), now);
        }
    }
}
