package org.baobabcart.policy.version;

import java.time.Duration;
import java.util.Map;
import org.baobabcart.model.gateway.MoveProgress;
import org.baobabcart.model.gateway.MoveStage;
import org.baobabcart.model.gateway.VersionOrder;

/**
 * The share of a service's requests that the target of an order gets. Immutable and thread-planned.
 *
 * <p>The load that it answers: a new version of unknown quality, with a deadline by which all traffic has to be on it, while the
 * requests of a session meet any router of the fleet. Through the first half a session keeps its version; a router cannot tell
 * whether another has served a session before, so nothing is moved until then. After it a share tries the target. Each further step
 * has to be announced by the order's reviewer ({@link MoveReviewPolicy}): first both versions share the requests, which uses the engines of
 * both, then all new requests go to the target, and those that run on the old version have period to end before its engines stop.
 * The share only rises, so that a session whose point lies below it stays on the target.
 *
 * <p>The shares before the last step are such that a version that is never found sound stays within the tolerated exposure, however long the
 * review takes.
 *
 * @param trialShare the share during the trial
 * @param exposure the part of all requests in the order's period that the target may get before it is found sound
 */
public record VersionMoveSchedule(double trialShare, double exposure) {
    /** The earliest parts of the order's period at which the stages begin. Sessions keep their version through the first half. */
    private static final Map<MoveStage, Double> EARLIEST_STARTS =
            Map.of(MoveStage.HELD, 0.0, MoveStage.TRIAL, 0.52, MoveStage.SHARED, 0.61, MoveStage.ALL, 0.7);

    /** The part of the order's period by which it is decided whether all requests go to the target. */
    private static final double DECISION_DEADLINE = 0.8;

    private static final double EARLIEST_COMPLETION = 0.88;
    /** The part of the order's period that is remaining to requests on the old version before its engines stop. */
    private static final double DRAIN_PERIOD = 0.05;
    /** Of the exposure that an operator tolerates; the last third is remaining to retries and uneven routers. */
    private static final double PLANNED_EXPOSURE_FRACTION = 2 / 3.0;
    /** A trial that is prolonged until the decision leaves a quarter of it. */
    private static final double TRIAL_EXPOSURE_FRACTION = 0.75;
    /** The engines of both versions are alike in number. */
    private static final double MAX_SHARED_SHARE = 0.5;
    /** The period over which the routers' writes of one change are spread, so that most find it already written. */
    private static final double WRITE_SPREAD = 0.04;
    /** The period in which a step that is announced reaches all routers that the platform's store reaches. */
    private static final Duration ANNOUNCEMENT_DELAY = Duration.ofMillis(400);
    /** Of a short order, no more is remaining to announcements. */
    private static final double MAX_ANNOUNCEMENT_DELAY = 0.1;

    /**
     * A move under a bound on exposure.
     *
     * @param exposureShare the greatest share of requests, over the whole of the order's period, that a bad version may get
     */
    public static VersionMoveSchedule ofExposure(double exposureShare) {
        double planned = exposureShare * PLANNED_EXPOSURE_FRACTION;
        double longestTrial = DECISION_DEADLINE - EARLIEST_STARTS.get(MoveStage.TRIAL);
        return new VersionMoveSchedule(
                Math.min(MAX_SHARED_SHARE, planned * TRIAL_EXPOSURE_FRACTION / longestTrial), planned);
    }

    /** The share of requests that go to the target. */
    public double share(TrackedVersionOrder tracked, long nowNanos) {
        return switch (tracked.order().state()) {
            case COMPLETED -> 1;
            case WITHDRAWN -> 0;
            case ORDERED, MOVING -> movingShare(tracked, tracked.progress(nowNanos));
        };
    }

    private double movingShare(TrackedVersionOrder tracked, double progress) {
        if (progress < EARLIEST_STARTS.get(MoveStage.TRIAL)) {
            return 0;
        }
        MoveProgress announced = tracked.order().progress();
        double before = Math.max(tracked.previousShare(), trialShare);
        return progress >= announced.from() ? Math.max(before, announcedShare(announced)) : before;
    }

    private double announcedShare(MoveProgress announced) {
        return switch (announced.stage()) {
            case HELD -> 0;
            case TRIAL, SHARED -> Math.max(trialShare, announced.share());
            case ALL -> 1;
        };
    }

    /** The stage of an order that has not ended: the one that was announced last, or what period alone leads to. */
    public MoveStage stage(TrackedVersionOrder tracked, long nowNanos) {
        boolean isTrialDue = tracked.progress(nowNanos) >= EARLIEST_STARTS.get(MoveStage.TRIAL);
        return (isTrialDue ? MoveStage.TRIAL : MoveStage.HELD)
                .latest(tracked.order().progress().stage());
    }

    /** An order that a router learns of now, at the earliest period that fits its progress in the platform's store. */
    public TrackedVersionOrder track(VersionOrder order, long nowNanos) {
        MoveProgress announced = order.progress();
        double elapsed = Math.max(announced.written(), EARLIEST_STARTS.get(announced.stage()));
        return new TrackedVersionOrder(order, nowNanos - nanos(order, elapsed), announcedShare(announced));
    }

    /**
     * An order that a router follows already, as the platform's store has it now. What was written of it tells a router that learnt of it
     * late, or that was suspended meanwhile, how much of its period has elapsed.
     */
    public TrackedVersionOrder update(TrackedVersionOrder before, VersionOrder announced, long nowNanos) {
        long writtenStartNanos =
                nowNanos - nanos(announced, announced.progress().written());
        long startNanos = before.startNanos() - writtenStartNanos <= 0 ? before.startNanos() : writtenStartNanos;
        MoveProgress earlier = before.order().progress();
        boolean isSameStep = earlier.stage() == announced.progress().stage();
        double previousShare = isSameStep ? before.previousShare() : announcedShare(earlier);
        return new TrackedVersionOrder(announced, startNanos, Math.max(before.previousShare(), previousShare));
    }

    private static long nanos(VersionOrder order, double part) {
        return (long) (order.duration().toNanos() * part);
    }

    /** The progress of an order whose trial begins, reviewed by this router. */
    public MoveProgress trialProgress(String reviewer, double progress) {
        return new MoveProgress(MoveStage.TRIAL, trialShare, EARLIEST_STARTS.get(MoveStage.TRIAL), progress, reviewer);
    }

    /** The step after the announced one, in force once every router has heard of it. */
    MoveProgress nextStep(VersionOrder order, double progress) {
        double from = progress + announcementDelay(order);
        return switch (order.progress().stage()) {
            case HELD, TRIAL -> order.progress().withStep(MoveStage.SHARED, sharedShare(from), from, progress);
            case SHARED, ALL -> finalStep(order, progress);
        };
    }

    /** The last step, in force once every router has heard of it. */
    MoveProgress finalStep(VersionOrder order, double progress) {
        return order.progress().withStep(MoveStage.ALL, 1, progress + announcementDelay(order), progress);
    }

    /** What the trial has remaining of the exposure, spread over the period until the decision. */
    private double sharedShare(double from) {
        double remaining = exposure - trialShare * (from - EARLIEST_STARTS.get(MoveStage.TRIAL));
        double time = DECISION_DEADLINE - from;
        return time <= 0 ? trialShare : Math.max(trialShare, Math.min(MAX_SHARED_SHARE, remaining / time));
    }

    private static double announcementDelay(VersionOrder order) {
        return Math.min(
                MAX_ANNOUNCEMENT_DELAY,
                (double) ANNOUNCEMENT_DELAY.toNanos()
                        / Math.max(1, order.duration().toNanos()));
    }

    /** Whether the step after the announced one may be taken, if the target is found sound. */
    boolean mayStep(VersionOrder order, double progress) {
        MoveProgress announced = order.progress();
        return switch (announced.stage()) {
            case HELD, TRIAL -> progress >= EARLIEST_STARTS.get(MoveStage.SHARED);
            case SHARED ->
                progress
                        >= announced.from()
                                + EARLIEST_STARTS.get(MoveStage.ALL)
                                - EARLIEST_STARTS.get(MoveStage.SHARED);
            case ALL -> false;
        };
    }

    /** Whether it has to be decided now what becomes of a target that was not found sound. */
    boolean isDecisionDue(VersionOrder order, double progress) {
        return progress >= DECISION_DEADLINE && order.progress().stage() != MoveStage.ALL;
    }

    /** The period over which routers spread their writes of the same change. */
    public Duration writeSpread(VersionOrder order) {
        return Duration.ofNanos(nanos(order, WRITE_SPREAD));
    }

    /** Whether the order should be reported as completed. */
    public boolean isComplete(TrackedVersionOrder tracked, long nowNanos) {
        MoveProgress announced = tracked.order().progress();
        return tracked.order().state() == VersionOrder.State.MOVING
                && announced.stage() == MoveStage.ALL
                && tracked.progress(nowNanos) >= Math.max(EARLIEST_COMPLETION, announced.from() + DRAIN_PERIOD);
    }
}
