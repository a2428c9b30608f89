package org.baobabcart.policy.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.baobabcart.model.rollout.RollOutProgress;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.rollout.RollOutStatus;
import org.baobabcart.model.sheet.RollOut;
import org.baobabcart.model.sheet.RollOutStage;
import org.baobabcart.model.sheet.WhenControllerLost;
import org.junit.jupiter.api.Test;

class RollOutTransitionsTest {
    private static final String WRITE = "write-1";

    private final RollOut resting = rollOut(WhenControllerLost.REST);
    private final RollOutState begun = RollOutTransitions.started(RollOutState.empty(), resting, "first", WRITE);
    private final RollOutProgress running = begun.of("model").orElseThrow();

    @Test
    void stagesFollowEachOtherUntilItIsDone() {
        RollOutState second = RollOutTransitions.advanced(begun, resting, running, WRITE);
        RollOutProgress progress = second.of("model").orElseThrow();
        assertThat(progress.stage(), equalTo(1));
        assertThat(progress.epoch(), equalTo(running.epoch() + 1));
        RollOutState last = RollOutTransitions.advanced(second, resting, progress, WRITE);
        assertThat(last.of("model").orElseThrow().status(), equalTo(RollOutStatus.DONE));
        assertThat(last.generation(), equalTo(3L));
    }

    @Test
    void aStoppedRollOutWithdrawsItsVersionInOneChange() {
        RollOutState stopped = RollOutTransitions.stopped(begun, running, "bad", WRITE);
        assertThat(stopped.generation(), equalTo(begun.generation() + 1));
        assertThat(stopped.of("model").orElseThrow().status(), equalTo(RollOutStatus.STOPPED));
        assertThat(stopped.isWithdrawn("model", "v2"), is(true));
        assertThat(stopped.isWithdrawn("model", "v1"), is(false));
    }

    @Test
    void aLostControllerPausesOnlyWhatShallRest() {
        assertThat(takenOver(begun, resting, "second").orElseThrow().status(), equalTo(RollOutStatus.PAUSED));
        RollOutProgress continued =
                takenOver(begun, rollOut(WhenControllerLost.CONTINUE), "second").orElseThrow();
        assertThat(continued, equalTo(running.withController("second")));
        assertThat(takenOver(begun, resting, "first"), equalTo(Optional.empty()));
    }

    @Test
    void aHandedOverRollOutGoesOnButRestsIfTheNextControllerIsLost() {
        RollOutState handedOver = RollOutTransitions.handedOver(begun, running, WRITE);
        RollOutProgress second = takenOver(handedOver, resting, "second").orElseThrow();
        assertThat(second, equalTo(running.withController("second")));
        RollOutState next = handedOver.withProgress(second, WRITE);
        assertThat(takenOver(next, resting, "third").orElseThrow().status(), equalTo(RollOutStatus.PAUSED));
    }

    @Test
    void aResumedRollOutWaitsForWhoeverControls() {
        RollOutState paused = RollOutTransitions.stopped(begun, running, "bad", WRITE);
        RollOutProgress resumed = paused.of("model").orElseThrow().withStatus(RollOutStatus.RUNNING, "by an operator");
        RollOutProgress taken = takenOver(paused.withProgress(resumed, WRITE), resting, "second")
                .orElseThrow();
        assertThat(taken, equalTo(resumed.withController("second")));
    }

    private static Optional<RollOutProgress> takenOver(RollOutState state, RollOut rollOut, String controller) {
        return RollOutTransitions.takenOver(state, rollOut, state.of("model").orElseThrow(), controller, WRITE)
                .flatMap(next -> next.of("model"));
    }

    private static RollOut rollOut(WhenControllerLost whenControllerLost) {
        List<RollOutStage> stages = List.of(new RollOutStage(0.1, 10, 10), new RollOutStage(1, 10, 10));
        return new RollOut("model", "v1", "v2", stages, whenControllerLost);
    }
}
