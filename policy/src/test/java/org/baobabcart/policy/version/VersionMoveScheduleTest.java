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
    private final VersionMoveSchedule move = VersionMoveSchedule.ofExposure(0.15);

    @Test
    void aTrialStaysBelowTheExposureThatIsTolerated() {
        assertThat(move.share(order(VersionOrder.State.MOVING), at(0.2)), lessThan(0.15));
    }

    @Test
    void allRequestsGoToTheTargetBeforeTheOrderIsReportedAsCompleted() {
        TrackedVersionOrder moving = announced(order(VersionOrder.State.MOVING), MoveStage.ALL, 1, 0.7);
        assertThat(move.share(moving, at(0.7)), closeTo(1, 0));
        assertThat(move.isComplete(moving, at(0.7)), is(false));
        assertThat(move.isComplete(moving, at(0.9)), is(true));
    }

    /** The clock alone says nothing of the target. */
    @Property
    void aTargetThatNobodyHasFoundSoundNeverGetsAllRequests(
            @ForAll MoveStage announced, @ForAll @DoubleRange(min = 0, max = 3) double progress) {
        TrackedVersionOrder moving = order(VersionOrder.State.MOVING);
        assertThat(move.share(moving, at(progress)), is(lessThan(0.5)));
        assertThat(move.isComplete(moving, at(progress)), is(false));
    }

    /** A burst while the old version has lost engines: the engines of both take the load. */
    @Test
    void bothVersionsShareTheLoadAfterTheTrial() {
        VersionOrder tried = order(VersionOrder.State.MOVING).order().withProgress(move.trialProgress("router", 0.52));
        assertThat(move.nextStep(tried, 0.62).share(), greaterThan(0.4));
    }

    /** Sessions must not change to the target in the first half, nor back from it later. */
    @Property
    void theShareDoesNotChangeInTheFirstHalfAndNeverFalls(
            @ForAll @DoubleRange(min = 0, max = 0.5) double first,
            @ForAll @DoubleRange(min = 0, max = 0.5) double second,
            @ForAll @DoubleRange(min = 0, max = 0.5) double third,
            @ForAll MoveStage stage,
            @ForAll @DoubleRange(min = 0, max = 0.5) double share,
            @ForAll @DoubleRange(min = 0.53, max = 1) double from) {
        TrackedVersionOrder moving = announced(order(VersionOrder.State.MOVING), stage, share, from);
        assertThat(move.share(moving, at(first)), is(move.share(moving, at(second))));
        double later = 0.5 + third;
        assertThat(move.share(moving, at(later + 0.01)) >= move.share(moving, at(later)), is(true));
    }

    /** A router cannot know whether another one has served a session before, so no session may be moved yet. */
    @Property
    void nothingRunsOnTheTargetInTheFirstHalf(@ForAll @DoubleRange(min = 0, max = 0.5) double progress) {
        assertThat(move.share(order(VersionOrder.State.ORDERED), at(progress)), is(0.0));
        assertThat(move.share(order(VersionOrder.State.MOVING), at(progress)), is(0.0));
    }

    /** Retries and uneven routers come on top, for which a third of the tolerated exposure is left. */
    @Property
    void whatRunsOnTheTargetBeforeAllDoesStaysWithinTheExposure(
            @ForAll @DoubleRange(min = 0.01, max = 0.5) double exposure,
            @ForAll @DoubleRange(min = 0.61, max = 0.8) double step) {
        VersionMoveSchedule bounded = VersionMoveSchedule.ofExposure(exposure);
        VersionOrder tried =
                order(VersionOrder.State.MOVING).order().withProgress(bounded.trialProgress("router", 0.52));
        TrackedVersionOrder moving = bounded.update(
                bounded.update(order(VersionOrder.State.MOVING), tried, at(0.52)),
                tried.withProgress(bounded.nextStep(tried, step)),
                at(step));
        double exposed = 0;
        for (int passed = 0; passed / STEPS < 0.8; passed++) {
            exposed += bounded.share(moving, at(passed / STEPS)) / STEPS;
        }
        assertThat(exposed, lessThan(exposure * 0.7));
    }

    /** A router that starts in the middle of a move would otherwise send sessions back to the version that they left. */
    @Property
    void aRouterThatStartsLateTakesUpTheStageInTheStore(
            @ForAll MoveStage told, @ForAll @DoubleRange(min = 0, max = 1) double since) {
        VersionOrder order =
                announced(order(VersionOrder.State.MOVING), told, 0.3, 0.6).order();
        TrackedVersionOrder late = move.track(order, 0);
        assertThat(move.stage(late, at(since)), greaterThanOrEqualTo(told));
        TrackedVersionOrder early = order(VersionOrder.State.MOVING);
        assertThat(move.stage(late, at(since)), greaterThanOrEqualTo(move.stage(early, at(since))));
    }

    /** Such as one that was suspended for seconds, during which its clock stood still. */
    @Test
    void aRouterWhoseClockStoodStillLearnsHowMuchTimeHasPassed() {
        TrackedVersionOrder before = order(VersionOrder.State.MOVING);
        VersionOrder told = before.order().withProgress(new MoveProgress(MoveStage.TRIAL, 0.1, 0.52, 0.6, "router"));
        TrackedVersionOrder after = move.update(before, told, at(0.4));
        assertThat(after.progress(at(0.4)), closeTo(0.6, 0.001));
        assertThat(move.update(after, told, at(0.5)).progress(at(0.5)), closeTo(0.7, 0.001));
    }

    /** Routers hear of a step at unlike times. */
    @Test
    void aStepComesIntoForceWhenAllRoutersHaveHeardOfIt() {
        VersionOrder tried = order(VersionOrder.State.MOVING).order().withProgress(move.trialProgress("router", 0.52));
        TrackedVersionOrder trial = move.update(order(VersionOrder.State.MOVING), tried, at(0.52));
        VersionOrder stepped = tried.withProgress(move.nextStep(tried, 0.62));
        TrackedVersionOrder soon = move.update(trial, stepped, at(0.621));
        TrackedVersionOrder late = move.update(trial, stepped, at(0.639));
        assertThat(move.share(soon, at(0.639)), is(move.share(trial, at(0.639))));
        assertThat(move.share(soon, at(0.641)), is(move.share(late, at(0.641))));
        assertThat(move.share(soon, at(0.641)), greaterThan(move.share(trial, at(0.641))));
    }

    @Test
    void aWithdrawnTargetIsNeverReportedAsCompleted() {
        TrackedVersionOrder withdrawn = announced(order(VersionOrder.State.WITHDRAWN), MoveStage.ALL, 1, 0.7);
        assertThat(move.isComplete(withdrawn, at(0.95)), is(false));
    }

    @Property
    void aWithdrawnTargetGetsNothingAndACompletedOneAll(@ForAll @DoubleRange(min = 0, max = 3) double progress) {
        assertThat(move.share(order(VersionOrder.State.WITHDRAWN), at(progress)), is(0.0));
        assertThat(move.share(order(VersionOrder.State.COMPLETED), at(progress)), is(1.0));
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
