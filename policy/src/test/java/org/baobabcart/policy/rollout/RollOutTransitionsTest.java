package org.baobabcart.policy.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.baobabcart.model.rollout.RollOutProgress;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.rollout.RollOutStatus;
import org.baobabcart.model.sheet.ControllerLossPolicy;
import org.baobabcart.model.sheet.RollOut;
import org.baobabcart.model.sheet.RollOutStage;
import org.junit.jupiter.api.Test;

class RollOutTransitionsTest {
    private static final String WRITE_ID = "write-1";

    private final RollOut pausing = rollOut(ControllerLossPolicy.REST);
    private final RollOutState startedState =
            RollOutTransitions.started(RollOutState.empty(), pausing, "first", WRITE_ID);
    private final RollOutProgress running = startedState.of("model").orElseThrow();

    @Test
    void advancesThroughStagesUntilDone() {
        RollOutState second = RollOutTransitions.advanced(startedState, pausing, running, WRITE_ID);
        RollOutProgress progress = second.of("model").orElseThrow();
        assertThat(progress.stage(), equalTo(1));
        assertThat(progress.epoch(), equalTo(running.epoch() + 1));
        RollOutState last = RollOutTransitions.advanced(second, pausing, progress, WRITE_ID);
        assertThat(last.of("model").orElseThrow().status(), equalTo(RollOutStatus.DONE));
        assertThat(last.generation(), equalTo(3L));
    }

    @Test
    void stopWithdrawsVersionInOneChange() {
        RollOutState stopped = RollOutTransitions.stopped(startedState, running, "bad", WRITE_ID);
        assertThat(stopped.generation(), equalTo(startedState.generation() + 1));
        assertThat(stopped.of("model").orElseThrow().status(), equalTo(RollOutStatus.STOPPED));
        assertThat(stopped.isWithdrawn("model", "v2"), is(true));
        assertThat(stopped.isWithdrawn("model", "v1"), is(false));
    }

    @Test
    void lostControllerPausesOnlyIfSheetRequiresIt() {
        assertThat(takenOver(startedState, pausing, "second").orElseThrow().status(), equalTo(RollOutStatus.PAUSED));
        RollOutProgress continued = takenOver(startedState, rollOut(ControllerLossPolicy.CONTINUE), "second")
                .orElseThrow();
        assertThat(continued, equalTo(running.withController("second")));
        assertThat(takenOver(startedState, pausing, "first"), equalTo(Optional.empty()));
    }

    @Test
    void handedOverRollOutContinuesButPausesIfNextControllerIsLost() {
        RollOutState handedOver = RollOutTransitions.handedOver(startedState, running, WRITE_ID);
        RollOutProgress second = takenOver(handedOver, pausing, "second").orElseThrow();
        assertThat(second, equalTo(running.withController("second")));
        RollOutState next = handedOver.withProgress(second, WRITE_ID);
        assertThat(takenOver(next, pausing, "third").orElseThrow().status(), equalTo(RollOutStatus.PAUSED));
    }

    @Test
    void anyControllerTakesOverResumedRollOut() {
        RollOutState paused = RollOutTransitions.stopped(startedState, running, "bad", WRITE_ID);
        RollOutProgress resumed = paused.of("model").orElseThrow().withStatus(RollOutStatus.RUNNING, "by an operator");
        RollOutProgress taken = takenOver(paused.withProgress(resumed, WRITE_ID), pausing, "second")
                .orElseThrow();
        assertThat(taken, equalTo(resumed.withController("second")));
    }

    private static Optional<RollOutProgress> takenOver(RollOutState state, RollOut rollOut, String controller) {
        return RollOutTransitions.takenOver(state, rollOut, state.of("model").orElseThrow(), controller, WRITE_ID)
                .flatMap(next -> next.of("model"));
    }

    private static RollOut rollOut(ControllerLossPolicy whenControllerLost) {
        List<RollOutStage> stages = List.of(new RollOutStage(0.1, 10, 10), new RollOutStage(1, 10, 10));
        return new RollOut("model", "v1", "v2", stages, whenControllerLost);
    }
}
