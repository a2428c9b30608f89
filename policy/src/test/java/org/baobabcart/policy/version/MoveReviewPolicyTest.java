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
    private static final VersionMoveSchedule SCHEDULE = VersionMoveSchedule.ofExposure(0.1);
    private static final MoveReviewPolicy POLICY = new MoveReviewPolicy(SCHEDULE);

    /** The evidence that the routers may have about the target. */
    enum EvidenceCase {
        NOTHING(0, 0),
        SOUND(60, 0),
        SUSPECT(44, 8),
        BAD(0, 60);

        private final long fast;
        private final long slow;

        EvidenceCase(long fast, long slow) {
            this.fast = fast;
            this.slow = slow;
        }

        ServiceEvidence evidence() {
            LatencyHistogram baseline = LatencyHistogram.of(Map.of(40, 250L, 56, 250L));
            LatencyHistogram target = LatencyHistogram.of(Map.of(44, fast, 64, slow));
            return new ServiceEvidence(Map.of(
                    new VersionRequestClass("v1", "chat"),
                            new VersionCounts(500, 0, baseline, LatencyHistogram.empty()),
                    new VersionRequestClass("v2", "chat"),
                            new VersionCounts(fast + slow, 0, target, LatencyHistogram.empty())));
        }
    }

    @Property
    void advancesOnlyWhenTargetIsSound(
            @ForAll EvidenceCase overall,
            @ForAll EvidenceCase recent,
            @ForAll MoveStage stage,
            @ForAll @DoubleRange(min = 0.52, max = 0.79) double progress) {
        MoveDecision decision = decide(stage, 0.53, overall, recent, progress);
        boolean isSound = overall == EvidenceCase.SOUND && (recent == EvidenceCase.SOUND || stage == MoveStage.TRIAL);
        boolean isStep = decision.order().progress().stage().compareTo(stage) > 0;
        assertThat(isStep && !isSound, is(false));
        assertThat(isStep && progress < 0.61, is(false));
    }

    @Property
    void withdrawsBadTargetAtAnyStage(
            @ForAll MoveStage stage,
            @ForAll EvidenceCase other,
            @ForAll boolean isRecent,
            @ForAll @DoubleRange(min = 0.52, max = 3) double progress) {
        Assume.that(stage != MoveStage.ALL);
        MoveDecision decision =
                decide(stage, 0.6, isRecent ? other : EvidenceCase.BAD, isRecent ? EvidenceCase.BAD : other, progress);
        assertThat(decision.order().state(), is(VersionOrder.State.WITHDRAWN));
    }

    /** Latencies can't be compared, since the other versions served under a different load. */
    @Test
    void withdrawsTargetThatServesAloneOnlyForFailures() {
        assertThat(
                decide(MoveStage.ALL, 0.7, EvidenceCase.BAD, EvidenceCase.BAD, 0.8)
                        .order()
                        .state(),
                is(VersionOrder.State.MOVING));
        VersionCounts failing = new VersionCounts(20, 20, LatencyHistogram.empty(), LatencyHistogram.empty());
        ServiceEvidence evidence = EvidenceCase.SOUND
                .evidence()
                .plus(new ServiceEvidence(Map.of(new VersionRequestClass("v2", "chat"), failing)));
        assertThat(
                decide(MoveStage.ALL, 0.7, evidence, evidence, 0.8).order().state(), is(VersionOrder.State.WITHDRAWN));
    }

    @Test
    void withdrawsSuspectTargetAtDecisionDeadline() {
        assertThat(
                decide(MoveStage.TRIAL, 0.52, EvidenceCase.SUSPECT, EvidenceCase.SUSPECT, 0.79)
                        .order()
                        .state(),
                is(VersionOrder.State.MOVING));
        assertThat(
                decide(MoveStage.TRIAL, 0.52, EvidenceCase.SUSPECT, EvidenceCase.SUSPECT, 0.81)
                        .order()
                        .state(),
                is(VersionOrder.State.WITHDRAWN));
    }

    /** A service may get almost no requests, for example at night. */
    @Test
    void completesTargetWithoutRequestsInTime() {
        MoveDecision decision = decide(MoveStage.TRIAL, 0.52, EvidenceCase.NOTHING, EvidenceCase.NOTHING, 0.81);
        assertThat(decision.order().progress().stage(), is(MoveStage.ALL));
        double from = decision.order().progress().effectiveFrom();
        assertThat(from, lessThan(0.85));
        assertThat(
                decide(MoveStage.ALL, from, EvidenceCase.NOTHING, EvidenceCase.NOTHING, 0.92)
                        .order()
                        .state(),
                is(VersionOrder.State.COMPLETED));
    }

    /** A step that is announced but not yet in effect has no evidence. */
    @Test
    void doesNotStepBeforePreviousStepTakesEffect() {
        MoveDecision decision = decide(MoveStage.SHARED, 0.75, EvidenceCase.SOUND, EvidenceCase.SOUND, 0.74);
        assertThat(decision.order().progress().stage(), is(MoveStage.SHARED));
    }

    private static MoveDecision decide(
            MoveStage stage, double from, EvidenceCase overall, EvidenceCase recent, double progress) {
        return decide(stage, from, overall.evidence(), recent.evidence(), progress);
    }

    private static MoveDecision decide(
            MoveStage stage, double from, ServiceEvidence overall, ServiceEvidence recent, double progress) {
        VersionOrder order = new VersionOrder(
                "model",
                "v2",
                LENGTH,
                VersionOrder.State.MOVING,
                new MoveProgress(stage, 0.2, from, from, "router"),
                "7",
                "7");
        long now = (long) (LENGTH.toNanos() * progress);
        return POLICY.decide(new TrackedVersionOrder(order, 0, 0), overall, recent, now);
    }
}
