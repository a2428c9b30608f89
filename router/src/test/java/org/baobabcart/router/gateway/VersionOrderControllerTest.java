package org.baobabcart.router.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import org.baobabcart.model.gateway.MoveProgress;
import org.baobabcart.model.gateway.MoveStage;
import org.baobabcart.model.gateway.VersionOrder;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.policy.version.VersionMoveSchedule;
import org.baobabcart.policy.version.VersionOutcomeRecorder;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.platform.ObjectInformer;
import org.baobabcart.router.testing.InMemoryObjectStore;
import org.baobabcart.router.testing.ManualTimerService;
import org.junit.jupiter.api.Test;

class VersionOrderControllerTest {
    private static final Duration ORDER_DURATION = Duration.ofSeconds(100);
    private static final VersionMoveSchedule SCHEDULE = VersionMoveSchedule.ofExposure(0.1);
    private static final Duration SEVERAL_TICKS = Duration.ofSeconds(1);

    private final InMemoryObjectStore store = InMemoryObjectStore.create();
    private final ManualTimerService timers = ManualTimerService.create();
    private final Duration writeSpread =
            SCHEDULE.writeSpread(new TestOrderCodec().order(TestOrderCodec.object("first", ORDER_DURATION)));
    private final VersionOrderController controller = VersionOrderController.create(
            "router-1",
            new TestOrderCodec(),
            new ObjectInformer.Dependencies(
                    store, Runnable::run, timers, new MaxRandom(), (type, request, fields) -> {}, new MetricRegistry()),
            Blackboard.create(),
            (type, request, fields) -> {},
            SCHEDULE,
            VersionOutcomeRecorder.create());

    @Test
    void orderStartsMovingWithinTheWriteSpread() {
        store.create(TestOrderCodec.object("first", ORDER_DURATION)).await().indefinitely();
        controller.start();
        timers.advance(SEVERAL_TICKS);
        assertThat(state(), is(VersionOrder.State.ORDERED));
        timers.advance(writeSpread);
        assertThat(state(), is(VersionOrder.State.MOVING));
    }

    @Test
    void writeOfAReplacingOrderIsPlannedAgain() {
        store.create(TestOrderCodec.object("first", ORDER_DURATION)).await().indefinitely();
        controller.start();
        timers.advance(writeSpread.plus(SEVERAL_TICKS));
        assertThat(state(), is(VersionOrder.State.MOVING));
        JsonNode second = TestOrderCodec.object("second", ORDER_DURATION).spec();
        store.update(read().withSpec(second)).await().indefinitely();
        timers.advance(SEVERAL_TICKS);
        assertThat(state(), is(VersionOrder.State.ORDERED));
        timers.advance(writeSpread);
        assertThat(state(), is(VersionOrder.State.MOVING));
    }

    /** Routers of an earlier release do not write a reviewer. */
    @Test
    void stageReachedWithoutAReviewerIsNotReverted() {
        store.create(TestOrderCodec.object("first", ORDER_DURATION)).await().indefinitely();
        VersionOrder moved = new TestOrderCodec()
                .order(read())
                .withState(VersionOrder.State.MOVING)
                .withProgress(new MoveProgress(MoveStage.ALL, 0, 0, 0, ""));
        store.updateStatus(read().withStatus(new TestOrderCodec().status(moved)))
                .await()
                .indefinitely();
        controller.start();
        timers.advance(writeSpread.plus(SEVERAL_TICKS));
        MoveProgress progress = new TestOrderCodec().order(read()).progress();
        assertThat(progress.stage(), is(MoveStage.ALL));
        assertThat(progress.reviewer(), is("router-1"));
    }

    /** The response to a write arrives after the watch has delivered a later write of another router. */
    @Test
    void lateWriteResponseDoesNotRevertANewerState() {
        Blackboard blackboard = Blackboard.create();
        VersionOrderController controllerWithDelayedStore = VersionOrderController.create(
                "router-2",
                new TestOrderCodec(),
                new ObjectInformer.Dependencies(
                        DelayedResponseStore.of(store, timers, Duration.ofSeconds(5)),
                        Runnable::run,
                        timers,
                        new MaxRandom(),
                        (type, request, fields) -> {},
                        new MetricRegistry()),
                blackboard,
                (type, request, fields) -> {},
                SCHEDULE,
                VersionOutcomeRecorder.create());
        store.create(TestOrderCodec.object("first", ORDER_DURATION)).await().indefinitely();
        controllerWithDelayedStore.start();
        timers.advance(writeSpread.plus(SEVERAL_TICKS));
        assertThat(state(), is(VersionOrder.State.MOVING));
        VersionOrder completed = new TestOrderCodec().order(read()).withState(VersionOrder.State.COMPLETED);
        store.updateStatus(read().withStatus(new TestOrderCodec().status(completed)))
                .await()
                .indefinitely();
        timers.advance(Duration.ofSeconds(6));
        List<VersionOrder.State> publishedStates = blackboard.read(Sections.VERSION_ORDERS).stream()
                .map(tracked -> tracked.order().state())
                .toList();
        assertThat(publishedStates, contains(VersionOrder.State.COMPLETED));
    }

    private StoredObject read() {
        return store.read(TestOrderCodec.KIND, TestOrderCodec.SERVICE).await().indefinitely();
    }

    private VersionOrder.State state() {
        return new TestOrderCodec().order(read()).state();
    }

    /** Returns the largest possible numbers, so that randomly delayed writes are sent as late as possible. */
    private static final class MaxRandom implements RandomGenerator {
        @Override
        public long nextLong() {
            return Long.MAX_VALUE;
        }

        @Override
        public long nextLong(long bound) {
            return bound - 1;
        }
    }
}
