package org.baobabcart.policy.version;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.baobabcart.model.gateway.MoveProgress;
import org.baobabcart.model.gateway.MoveStage;
import org.baobabcart.model.gateway.VersionOrder;
import org.junit.jupiter.api.Test;

class VersionMoveScheduleTest {
    private static final Duration DURATION = Duration.ofSeconds(20);
    private static final double STEPS = 1000;
    private final VersionMoveSchedule schedule = VersionMoveSchedule.ofExposure(0.15);

    @Test
    void trialShareIsBelowToleratedExposure() {
        assertThat(schedule.share(order(VersionOrder.State.MOVING), at(0.2)), lessThan(0.15));
    }

    @Test
    void reportsCompletionAfterAllRequestsGoToTarget() {
        TrackedVersionOrder moving = announced(order(VersionOrder.State.MOVING), MoveStage.ALL, 1, 0.7);
        assertThat(schedule.share(moving, at(0.7)), closeTo(1, 0));
        assertThat(schedule.isComplete(moving, at(0.7)), is(false));
        assertThat(schedule.isComplete(moving, at(0.9)), is(true));
    }

    /** Time alone is no evidence about the target. */
    @Property
    void targetNotFoundSoundNeverGetsAllRequests(
            @ForAll MoveStage announced, @ForAll @DoubleRange(min = 0, max = 3) double progress) {
        TrackedVersionOrder moving = order(VersionOrder.State.MOVING);
        assertThat(schedule.share(moving, at(progress)), is(lessThan(0.5)));
        assertThat(schedule.isComplete(moving, at(progress)), is(false));
    }

    /** The engines of both versions share the load of a burst, even if the old version has lost engines. */
    @Test
    void versionsShareLoadAfterTrial() {
        VersionOrder inTrial =
                order(VersionOrder.State.MOVING).order().withProgress(schedule.trialProgress("router", 0.52));
        assertThat(schedule.nextStep(inTrial, 0.62).share(), greaterThan(0.4));
    }

    /** Sessions must not change to the target in the first half, and must not return from it later. */
    @Property
    void shareIsConstantInFirstHalfAndNeverDecreases(
            @ForAll @DoubleRange(min = 0, max = 0.5) double first,
            @ForAll @DoubleRange(min = 0, max = 0.5) double second,
            @ForAll @DoubleRange(min = 0, max = 0.5) double third,
            @ForAll MoveStage stage,
            @ForAll @DoubleRange(min = 0, max = 0.5) double share,
            @ForAll @DoubleRange(min = 0.53, max = 1) double from) {
        TrackedVersionOrder moving = announced(order(VersionOrder.State.MOVING), stage, share, from);
        assertThat(schedule.share(moving, at(first)), is(schedule.share(moving, at(second))));
        double later = 0.5 + third;
        assertThat(schedule.share(moving, at(later + 0.01)) >= schedule.share(moving, at(later)), is(true));
    }

    /** A router does not know whether another one has served a session before, so that no session may be moved yet. */
    @Property
    void targetGetsNoRequestsInFirstHalf(@ForAll @DoubleRange(min = 0, max = 0.5) double progress) {
        assertThat(schedule.share(order(VersionOrder.State.ORDERED), at(progress)), is(0.0));
        assertThat(schedule.share(order(VersionOrder.State.MOVING), at(progress)), is(0.0));
    }

    /** The remaining third of the tolerated exposure is a reserve for retries and uneven load of routers. */
    @Property
    void staysWithinExposureBeforeLastStep(
            @ForAll @DoubleRange(min = 0.01, max = 0.5) double exposure,
            @ForAll @DoubleRange(min = 0.61, max = 0.8) double step) {
        VersionMoveSchedule bounded = VersionMoveSchedule.ofExposure(exposure);
        VersionOrder inTrial =
                order(VersionOrder.State.MOVING).order().withProgress(bounded.trialProgress("router", 0.52));
        TrackedVersionOrder moving = bounded.update(
                bounded.update(order(VersionOrder.State.MOVING), inTrial, at(0.52)),
                inTrial.withProgress(bounded.nextStep(inTrial, step)),
                at(step));
        double exposed = 0;
        for (int elapsed = 0; elapsed / STEPS < 0.8; elapsed++) {
            exposed += bounded.share(moving, at(elapsed / STEPS)) / STEPS;
        }
        assertThat(exposed, lessThan(exposure * 0.7));
    }

    /** A router that starts during a move must not send sessions back to the version that they have left. */
    @Property
    void lateRouterAdoptsStoredStage(@ForAll MoveStage stored, @ForAll @DoubleRange(min = 0, max = 1) double elapsed) {
        VersionOrder order =
                announced(order(VersionOrder.State.MOVING), stored, 0.3, 0.6).order();
        TrackedVersionOrder late = schedule.track(order, 0);
        assertThat(schedule.stage(late, at(elapsed)), greaterThanOrEqualTo(stored));
        TrackedVersionOrder early = order(VersionOrder.State.MOVING);
        assertThat(schedule.stage(late, at(elapsed)), greaterThanOrEqualTo(schedule.stage(early, at(elapsed))));
    }

    /** The clock of a router may stand still, for example while it is suspended for seconds. */
    @Test
    void suspendedRouterAdoptsStoredProgress() {
        TrackedVersionOrder before = order(VersionOrder.State.MOVING);
        VersionOrder stored = before.order().withProgress(new MoveProgress(MoveStage.TRIAL, 0.1, 0.52, 0.6, "router"));
        TrackedVersionOrder after = schedule.update(before, stored, at(0.4));
        assertThat(after.progress(at(0.4)), closeTo(0.6, 0.001));
        assertThat(schedule.update(after, stored, at(0.5)).progress(at(0.5)), closeTo(0.7, 0.001));
    }

    /** Routers receive an announced step at different times. */
    @Test
    void stepTakesEffectAtTheSameProgressOnAllRouters() {
        VersionOrder inTrial =
                order(VersionOrder.State.MOVING).order().withProgress(schedule.trialProgress("router", 0.52));
        TrackedVersionOrder trial = schedule.update(order(VersionOrder.State.MOVING), inTrial, at(0.52));
        VersionOrder stepped = inTrial.withProgress(schedule.nextStep(inTrial, 0.62));
        TrackedVersionOrder soon = schedule.update(trial, stepped, at(0.621));
        TrackedVersionOrder late = schedule.update(trial, stepped, at(0.639));
        assertThat(schedule.share(soon, at(0.639)), is(schedule.share(trial, at(0.639))));
        assertThat(schedule.share(soon, at(0.641)), is(schedule.share(late, at(0.641))));
        assertThat(schedule.share(soon, at(0.641)), greaterThan(schedule.share(trial, at(0.641))));
    }

    @Test
    void withdrawnTargetIsNotComplete() {
        TrackedVersionOrder withdrawn = announced(order(VersionOrder.State.WITHDRAWN), MoveStage.ALL, 1, 0.7);
        assertThat(schedule.isComplete(withdrawn, at(0.95)), is(false));
    }

    @Property
    void withdrawnTargetGetsNothingAndCompletedTargetAll(@ForAll @DoubleRange(min = 0, max = 3) double progress) {
        assertThat(schedule.share(order(VersionOrder.State.WITHDRAWN), at(progress)), is(0.0));
        assertThat(schedule.share(order(VersionOrder.State.COMPLETED), at(progress)), is(1.0));
    }

    private static TrackedVersionOrder order(VersionOrder.State state) {
        return new TrackedVersionOrder(
                new VersionOrder("model", "v2", DURATION, state, MoveProgress.none(), "7", "7"), 0, 0);
    }

    private static TrackedVersionOrder announced(
            TrackedVersionOrder before, MoveStage stage, double share, double from) {
        MoveProgress progress = new MoveProgress(stage, share, stage == MoveStage.HELD ? 0 : from, 0, "router");
        return new TrackedVersionOrder(
                before.order().withProgress(progress), before.startNanos(), before.previousShare());
    }

    private static long at(double progress) {
        return (long) (DURATION.toNanos() * progress);
    }
}
