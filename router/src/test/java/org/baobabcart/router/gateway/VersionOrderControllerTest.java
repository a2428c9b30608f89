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
import org.baobabcart.router.platform.ObjectFollower;
import org.baobabcart.router.testing.InMemoryObjectStore;
import org.baobabcart.router.testing.ManualTimerService;
import org.junit.jupiter.api.Test;

class VersionOrderControllerTest {
    private static final Duration LENGTH = Duration.ofSeconds(100);
    private static final VersionMoveSchedule MOVE = VersionMoveSchedule.ofExposure(0.1);
    private static final Duration TICKS = Duration.ofSeconds(1);

    private final InMemoryObjectStore store = InMemoryObjectStore.create();
    private final ManualTimerService timers = ManualTimerService.create();
    private final Duration spread =
            MOVE.writeSpread(new TestOrderCodec().order(TestOrderCodec.object("first", LENGTH)));
    private final VersionOrderController controller = VersionOrderController.create(
            "router-1",
            new TestOrderCodec(),
            new ObjectFollower.Parts(
                    store,
                    Runnable::run,
                    timers,
                    new LastMoment(),
                    (type, request, fields) -> {},
                    new MetricRegistry()),
            Blackboard.create(),
            (type, request, fields) -> {},
            MOVE,
            VersionOutcomeRecorder.create());

    @Test
    void anOrderIsTakenUpWithinTheSpreadOfItsWrites() {
        store.create(TestOrderCodec.object("first", LENGTH)).await().indefinitely();
        controller.start();
        timers.advance(TICKS);
        assertThat(state(), is(VersionOrder.State.ORDERED));
        timers.advance(spread);
        assertThat(state(), is(VersionOrder.State.MOVING));
    }

    @Test
    void anOrderInPlaceOfAnotherIsPlannedAnew() {
        store.create(TestOrderCodec.object("first", LENGTH)).await().indefinitely();
        controller.start();
        timers.advance(spread.plus(TICKS));
        assertThat(state(), is(VersionOrder.State.MOVING));
        JsonNode second = TestOrderCodec.object("second", LENGTH).spec();
        store.update(read().withSpec(second)).await().indefinitely();
        timers.advance(TICKS);
        assertThat(state(), is(VersionOrder.State.ORDERED));
        timers.advance(spread);
        assertThat(state(), is(VersionOrder.State.MOVING));
    }

    /** A router of an earlier release writes no reviewer. */
    @Test
    void aStageThatWasReachedWithoutAReviewerIsNotTakenBack() {
        store.create(TestOrderCodec.object("first", LENGTH)).await().indefinitely();
        VersionOrder moved = new TestOrderCodec()
                .order(read())
                .withState(VersionOrder.State.MOVING)
                .withProgress(new MoveProgress(MoveStage.ALL, 0, 0, 0, ""));
        store.updateStatus(read().withStatus(new TestOrderCodec().status(moved)))
                .await()
                .indefinitely();
        controller.start();
        timers.advance(spread.plus(TICKS));
        MoveProgress progress = new TestOrderCodec().order(read()).progress();
        assertThat(progress.stage(), is(MoveStage.ALL));
        assertThat(progress.reviewer(), is("router-1"));
    }

    /** The answer to a write comes after the watch has told of what another router has written next. */
    @Test
    void anAnswerThatComesLateTakesNothingBack() {
        Blackboard blackboard = Blackboard.create();
        VersionOrderController late = VersionOrderController.create(
                "router-2",
                new TestOrderCodec(),
                new ObjectFollower.Parts(
                        DelayedResponseStore.of(store, timers, Duration.ofSeconds(5)),
                        Runnable::run,
                        timers,
                        new LastMoment(),
                        (type, request, fields) -> {},
                        new MetricRegistry()),
                blackboard,
                (type, request, fields) -> {},
                MOVE,
                VersionOutcomeRecorder.create());
        store.create(TestOrderCodec.object("first", LENGTH)).await().indefinitely();
        late.start();
        timers.advance(spread.plus(TICKS));
        assertThat(state(), is(VersionOrder.State.MOVING));
        VersionOrder completed = new TestOrderCodec().order(read()).withState(VersionOrder.State.COMPLETED);
        store.updateStatus(read().withStatus(new TestOrderCodec().status(completed)))
                .await()
                .indefinitely();
        timers.advance(Duration.ofSeconds(6));
        List<VersionOrder.State> known = blackboard.read(Sections.VERSION_ORDERS).stream()
                .map(followed -> followed.order().state())
                .toList();
        assertThat(known, contains(VersionOrder.State.COMPLETED));
    }

    private StoredObject read() {
        return store.read(TestOrderCodec.KIND, TestOrderCodec.SERVICE).await().indefinitely();
    }

    private VersionOrder.State state() {
        return new TestOrderCodec().order(read()).state();
    }

    /** The latest of all numbers, so that writes that are spread come last. */
    private static final class LastMoment implements RandomGenerator {
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
