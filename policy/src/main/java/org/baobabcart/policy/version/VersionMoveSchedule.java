package org.baobabcart.policy.version;

import java.time.Duration;
import java.util.Map;
import org.baobabcart.model.gateway.MoveProgress;
import org.baobabcart.model.gateway.MoveStage;
import org.baobabcart.model.gateway.VersionOrder;

/**
 * The schedule by which the requests of a service are shifted to the target version of an order. Immutable and
 * thread-safe.
 *
 * <p>The quality of the target is unknown, all traffic has to be on it by a deadline, and the requests of one session
 * may arrive at any router. A router cannot tell whether another router has served a session before, so sessions keep
 * their version and nothing is shifted during the first half. Then a share of the requests tries the target. Each
 * further step has to be announced by the order's reviewer ({@link MoveReviewPolicy}): first both versions share the
 * requests, which uses the engines of both; then all new requests go to the target, and requests that run on the old
 * version have time to finish before its engines stop. The share never decreases, so that a session whose hash lies
 * below the share stays on the target.
 *
 * <p>The shares before the last step keep a version that is never found sound within the tolerated exposure, however
 * long the review takes.
 *
 * @param trialShare the share during the trial
 * @param exposure the fraction of all requests during the order that the target may get before it is found sound
 */
public record VersionMoveSchedule(double trialShare, double exposure) {
    /**
     * The earliest start of each stage as a fraction of the order's duration. Sessions keep their version through the
     * first half.
     */
    private static final Map<MoveStage, Double> EARLIEST_STARTS =
            Map.of(MoveStage.HELD, 0.0, MoveStage.TRIAL, 0.52, MoveStage.SHARED, 0.61, MoveStage.ALL, 0.7);

    /** The fraction of the order's duration by which it is decided whether all requests go to the target. */
    private static final double DECISION_DEADLINE = 0.8;

    private static final double EARLIEST_COMPLETION = 0.88;
    /**
     * The fraction of the order's duration during which requests on the old version may finish before its engines stop.
     */
    private static final double DRAIN_PERIOD = 0.05;
    /**
     * The planned fraction of the tolerated exposure; the last third is a reserve for retries and uneven load of
     * routers.
     */
    private static final double PLANNED_EXPOSURE_FRACTION = 2 / 3.0;
    /**
     * A trial that lasts until the decision deadline uses three quarters of the planned exposure and leaves one
     * quarter.
     */
    private static final double TRIAL_EXPOSURE_FRACTION = 0.75;
    /** Both versions have about the same number of engines. */
    private static final double MAX_SHARED_SHARE = 0.5;
    /**
     * The fraction of the order's duration over which routers spread their writes of one change, so that most find it
     * already written.
     */
    private static final double WRITE_SPREAD = 0.04;
    /** The time within which an announced step reaches all routers that can reach the platform's store. */
    private static final Duration ANNOUNCEMENT_DELAY = Duration.ofMillis(400);
    /** The upper limit of the announcement delay as a fraction of the order's duration, for short orders. */
    private static final double MAX_ANNOUNCEMENT_DELAY = 0.1;

    /**
     * Creates a schedule with a limit on exposure.
     *
     * @param exposureShare the largest share of requests, over the whole duration of the order, that a bad version may
     *     get
     */
    public static VersionMoveSchedule ofExposure(double exposureShare) {
        double planned = exposureShare * PLANNED_EXPOSURE_FRACTION;
        double longestTrial = DECISION_DEADLINE - EARLIEST_STARTS.get(MoveStage.TRIAL);
        return new VersionMoveSchedule(
                Math.min(MAX_SHARED_SHARE, planned * TRIAL_EXPOSURE_FRACTION / longestTrial), planned);
    }

    /** Returns the share of requests that go to the target. */
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
        return progress >= announced.effectiveFrom() ? Math.max(before, announcedShare(announced)) : before;
    }

    private double announcedShare(MoveProgress announced) {
        return switch (announced.stage()) {
            case HELD -> 0;
            case TRIAL, SHARED -> Math.max(trialShare, announced.share());
            case ALL -> 1;
        };
    }

    /** Returns the stage of an active order: the later of the announced stage and the one that is due by time alone. */
    public MoveStage stage(TrackedVersionOrder tracked, long nowNanos) {
        boolean isTrialDue = tracked.progress(nowNanos) >= EARLIEST_STARTS.get(MoveStage.TRIAL);
        return (isTrialDue ? MoveStage.TRIAL : MoveStage.HELD)
                .latest(tracked.order().progress().stage());
    }

    /** Starts tracking an order, with the least elapsed time that is consistent with its stored progress. */
    public TrackedVersionOrder track(VersionOrder order, long nowNanos) {
        MoveProgress announced = order.progress();
        double elapsed = Math.max(announced.writtenAt(), EARLIEST_STARTS.get(announced.stage()));
        return new TrackedVersionOrder(order, nowNanos - nanos(order, elapsed), announcedShare(announced));
    }

    /**
     * Updates a tracked order to the state in the platform's store. The stored progress corrects the start time of a
     * router that saw the order late or was suspended in the meantime.
     */
    public TrackedVersionOrder update(TrackedVersionOrder before, VersionOrder stored, long nowNanos) {
        long writtenStartNanos = nowNanos - nanos(stored, stored.progress().writtenAt());
        long startNanos = before.startNanos() - writtenStartNanos <= 0 ? before.startNanos() : writtenStartNanos;
        MoveProgress earlier = before.order().progress();
        boolean isSameStep = earlier.stage() == stored.progress().stage();
        double previousShare = isSameStep ? before.previousShare() : announcedShare(earlier);
        return new TrackedVersionOrder(stored, startNanos, Math.max(before.previousShare(), previousShare));
    }

    private static long nanos(VersionOrder order, double fraction) {
        return (long) (order.duration().toNanos() * fraction);
    }

    /** Returns the progress of an order whose trial begins, with the given reviewer. */
    public MoveProgress trialProgress(String reviewer, double progress) {
        return new MoveProgress(MoveStage.TRIAL, trialShare, EARLIEST_STARTS.get(MoveStage.TRIAL), progress, reviewer);
    }

    /**
     * Returns the progress with the step after the announced one, which takes effect when every router has received it.
     */
    MoveProgress nextStep(VersionOrder order, double progress) {
        double from = progress + announcementDelay(order);
        return switch (order.progress().stage()) {
            case HELD, TRIAL -> order.progress().withStage(MoveStage.SHARED, sharedShare(from), from, progress);
            case SHARED, ALL -> finalStep(order, progress);
        };
    }

    /** Returns the progress with the last step, which takes effect when every router has received it. */
    MoveProgress finalStep(VersionOrder order, double progress) {
        return order.progress().withStage(MoveStage.ALL, 1, progress + announcementDelay(order), progress);
    }

    /** Returns the share that spreads the exposure left by the trial over the time until the decision deadline. */
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

    /**
     * Returns whether it is late enough for the step after the announced one, provided that the target is found sound.
     */
    boolean mayStep(VersionOrder order, double progress) {
        MoveProgress announced = order.progress();
        return switch (announced.stage()) {
            case HELD, TRIAL -> progress >= EARLIEST_STARTS.get(MoveStage.SHARED);
            case SHARED ->
                progress
                        >= announced.effectiveFrom()
                                + EARLIEST_STARTS.get(MoveStage.ALL)
                                - EARLIEST_STARTS.get(MoveStage.SHARED);
            case ALL -> false;
        };
    }

    /** Returns whether a target that was not found sound has to be decided on now. */
    boolean isDecisionDue(VersionOrder order, double progress) {
        return progress >= DECISION_DEADLINE && order.progress().stage() != MoveStage.ALL;
    }

    /** Returns the time over which routers spread their writes of the same change. */
    public Duration writeSpread(VersionOrder order) {
        return Duration.ofNanos(nanos(order, WRITE_SPREAD));
    }

    /** Returns whether the order should be reported as completed. */
    public boolean isComplete(TrackedVersionOrder tracked, long nowNanos) {
        MoveProgress announced = tracked.order().progress();
        return tracked.order().state() == VersionOrder.State.MOVING
                && announced.stage() == MoveStage.ALL
                && tracked.progress(nowNanos)
                        >= Math.max(EARLIEST_COMPLETION, announced.effectiveFrom() + DRAIN_PERIOD);
    }
}
