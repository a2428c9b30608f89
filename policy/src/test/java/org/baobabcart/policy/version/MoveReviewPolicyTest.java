package org.baobabcart.policy.version;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.util.Map;
import net.jqwik.api.Assume;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.baobabcart.model.gateway.MoveProgress;
import org.baobabcart.model.gateway.MoveStage;
import org.baobabcart.model.gateway.VersionOrder;
import org.junit.jupiter.api.Test;

class MoveReviewPolicyTest {
    private static final Duration LENGTH = Duration.ofSeconds(20);
    private static final VersionMoveSchedule MOVE = VersionMoveSchedule.ofExposure(0.1);
    private static final MoveReviewPolicy REVIEW = new MoveReviewPolicy(MOVE);

    /** What the routers may have seen of the target. */
    enum Seen {
        NOTHING(0, 0),
        SOUND(60, 0),
        SUSPECT(44, 8),
        BAD(0, 60);

        private final long fast;
        private final long slow;

        Seen(long fast, long slow) {
            this.fast = fast;
            this.slow = slow;
        }

        ServiceEvidence evidence() {
            LatencyHistogram usual = LatencyHistogram.of(Map.of(40, 250L, 56, 250L));
            LatencyHistogram target = LatencyHistogram.of(Map.of(44, fast, 64, slow));
            return new ServiceEvidence(Map.of(
                    new VersionRequestClass("v1", "chat"), new VersionCounts(500, 0, usual, LatencyHistogram.empty()),
                    new VersionRequestClass("v2", "chat"),
                            new VersionCounts(fast + slow, 0, target, LatencyHistogram.empty())));
        }
    }

    @Property
    void allRequestsGoOnlyToATargetThatWasFoundSoundAtEachStepOrHardlyAskedAtAll(
            @ForAll Seen whole,
            @ForAll Seen latest,
            @ForAll MoveStage stage,
            @ForAll @DoubleRange(min = 0.52, max = 0.79) double progress) {
        MoveDecision decision = decide(stage, 0.53, whole, latest, progress);
        boolean isSound = whole == Seen.SOUND && (latest == Seen.SOUND || stage == MoveStage.TRIAL);
        boolean isStep = decision.order().progress().stage().compareTo(stage) > 0;
        assertThat(isStep && !isSound, is(false));
        assertThat(isStep && progress < 0.61, is(false));
    }

    @Property
    void aBadTargetIsWithdrawnAtAnyStage(
            @ForAll MoveStage stage,
            @ForAll Seen other,
            @ForAll boolean isLatest,
            @ForAll @DoubleRange(min = 0.52, max = 3) double progress) {
        Assume.that(stage != MoveStage.ALL);
        MoveDecision decision = decide(stage, 0.6, isLatest ? other : Seen.BAD, isLatest ? Seen.BAD : other, progress);
        assertThat(decision.order().state(), is(VersionOrder.State.WITHDRAWN));
    }

    /** Its times have no others to be compared with, which are as they are by the present load. */
    @Test
    void aTargetThatAnswersAloneIsWithdrawnForFailuresOnly() {
        assertThat(decide(MoveStage.ALL, 0.7, Seen.BAD, Seen.BAD, 0.8).order().state(), is(VersionOrder.State.MOVING));
        VersionCounts failing = new VersionCounts(20, 20, LatencyHistogram.empty(), LatencyHistogram.empty());
        ServiceEvidence evidence =
                Seen.SOUND.evidence().plus(new ServiceEvidence(Map.of(new VersionRequestClass("v2", "chat"), failing)));
        assertThat(
                decide(MoveStage.ALL, 0.7, evidence, evidence, 0.8).order().state(), is(VersionOrder.State.WITHDRAWN));
    }

    @Test
    void aTargetUnderSuspicionIsWithdrawnWhenTheDecisionIsDue() {
        assertThat(
                decide(MoveStage.TRIAL, 0.52, Seen.SUSPECT, Seen.SUSPECT, 0.79)
                        .order()
                        .state(),
                is(VersionOrder.State.MOVING));
        assertThat(
                decide(MoveStage.TRIAL, 0.52, Seen.SUSPECT, Seen.SUSPECT, 0.81)
                        .order()
                        .state(),
                is(VersionOrder.State.WITHDRAWN));
    }

    /** A service that hardly anybody calls at night. */
    @Test
    void aTargetThatHardlyAnyRequestHasMetIsCompletedInTime() {
        MoveDecision decision = decide(MoveStage.TRIAL, 0.52, Seen.NOTHING, Seen.NOTHING, 0.81);
        assertThat(decision.order().progress().stage(), is(MoveStage.ALL));
        double from = decision.order().progress().from();
        assertThat(from, lessThan(0.85));
        assertThat(
                decide(MoveStage.ALL, from, Seen.NOTHING, Seen.NOTHING, 0.92)
                        .order()
                        .state(),
                is(VersionOrder.State.COMPLETED));
    }

    /** What is announced and not yet in force cannot have been tried. */
    @Test
    void noStepFollowsOneThatIsNotYetInForce() {
        MoveDecision decision = decide(MoveStage.SHARED, 0.75, Seen.SOUND, Seen.SOUND, 0.74);
        assertThat(decision.order().progress().stage(), is(MoveStage.SHARED));
    }

    private static MoveDecision decide(MoveStage stage, double from, Seen whole, Seen latest, double progress) {
        return decide(stage, from, whole.evidence(), latest.evidence(), progress);
    }

    private static MoveDecision decide(
            MoveStage stage, double from, ServiceEvidence whole, ServiceEvidence latest, double progress) {
        VersionOrder order = new VersionOrder(
                "model",
                "v2",
                LENGTH,
                VersionOrder.State.MOVING,
                new MoveProgress(stage, 0.2, from, from, "router"),
                "7",
                "7");
        long now = (long) (LENGTH.toNanos() * progress);
        return REVIEW.decide(new TrackedVersionOrder(order, 0, 0), whole, latest, now);
    }
}
