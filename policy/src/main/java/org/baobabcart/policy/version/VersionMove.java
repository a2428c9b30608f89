package org.baobabcart.policy.version;

import java.time.Duration;
import java.util.Map;
import org.baobabcart.model.gateway.MoveProgress;
import org.baobabcart.model.gateway.MoveStage;
import org.baobabcart.model.gateway.VersionOrder;

/**
 * The share of a service's requests that the target of an order gets. Immutable and thread-safe.
 *
 * <p>The load that it answers: a new version of unknown quality, with a deadline by which all traffic has to be on it, while the
 * requests of a session meet any router of the fleet. Through the first half a session keeps its version; a router cannot tell
 * whether another has served a session before, so nothing is moved until then. After it a share tries the target. Each further step
 * has to be announced by the order's reviewer ({@link MoveReview}): first both versions share the requests, which uses the engines of
 * both, then all new requests go to the target, and those that run on the old version have time to end before its engines stop.
 * The share only rises, so that a session whose point lies below it stays on the target.
 *
 * <p>The shares before the last step are such that a version that is never found sound stays within the tolerated exposure, however long the
 * review takes.
 *
 * @param trialShare the share during the trial
 * @param exposure the part of all requests in the order's time that the target may get before it is found sound
 */
public record VersionMove(double trialShare, double exposure) {
    /** The earliest parts of the order's time at which the stages begin. Sessions keep their version through the first half. */
    private static final Map<MoveStage, Double> BEGINNINGS =
            Map.of(MoveStage.HELD, 0.0, MoveStage.TRIAL, 0.52, MoveStage.SHARED, 0.61, MoveStage.ALL, 0.7);

    /** The part of the order's time by which it is decided whether all requests go to the target. */
    private static final double DECISION = 0.8;

    private static final double COMPLETION = 0.88;
    /** The part of the order's time that is left to requests on the old version before its engines stop. */
    private static final double SETTLING = 0.05;
    /** Of the exposure that an operator tolerates; the last third is left to retries and uneven routers. */
    private static final double SAFE_PART_OF_EXPOSURE = 2 / 3.0;
    /** A trial that is prolonged until the decision leaves a quarter of it. */
    private static final double TRIAL_PART = 0.75;
    /** The engines of both versions are alike in number. */
    private static final double MOST_SHARED = 0.5;
    /** The time over which the routers' writes of one change are spread, so that most find it already written. */
    private static final double WRITE_SPREAD = 0.04;
    /** The time in which a step that is announced reaches all routers that the platform's store reaches. */
    private static final Duration NOTICE = Duration.ofMillis(400);
    /** Of a short order, no more is left to announcements. */
    private static final double MOST_NOTICE = 0.1;

    /**
     * A move under a bound on exposure.
     *
     * @param exposureShare the greatest share of requests, over the whole of the order's time, that a bad version may get
     */
    public static VersionMove under(double exposureShare) {
        double safe = exposureShare * SAFE_PART_OF_EXPOSURE;
        double longestTrial = DECISION - BEGINNINGS.get(MoveStage.TRIAL);
        return new VersionMove(Math.min(MOST_SHARED, safe * TRIAL_PART / longestTrial), safe);
    }

    /** The share of requests that go to the target. */
    public double share(FollowedOrder followed, long nowNanos) {
        return switch (followed.order().state()) {
            case COMPLETED -> 1;
            case WITHDRAWN -> 0;
            case ORDERED, MOVING -> movingShare(followed, followed.progress(nowNanos));
        };
    }

    private double movingShare(FollowedOrder followed, double progress) {
        if (progress < BEGINNINGS.get(MoveStage.TRIAL)) {
            return 0;
        }
        MoveProgress told = followed.order().progress();
        double before = Math.max(followed.shareBefore(), trialShare);
        return progress >= told.from() ? Math.max(before, announcedShare(told)) : before;
    }

    private double announcedShare(MoveProgress told) {
        return switch (told.stage()) {
            case HELD -> 0;
            case TRIAL, SHARED -> Math.max(trialShare, told.share());
            case ALL -> 1;
        };
    }

    /** The stage of an order that has not ended: the one that was announced last, or what time alone leads to. */
    public MoveStage stage(FollowedOrder followed, long nowNanos) {
        boolean isTried = followed.progress(nowNanos) >= BEGINNINGS.get(MoveStage.TRIAL);
        return (isTried ? MoveStage.TRIAL : MoveStage.HELD)
                .latest(followed.order().progress().stage());
    }

    /** An order that a router learns of now, at the earliest time that fits its progress in the platform's store. */
    public FollowedOrder follow(VersionOrder order, long nowNanos) {
        MoveProgress told = order.progress();
        double passed = Math.max(told.written(), BEGINNINGS.get(told.stage()));
        return new FollowedOrder(order, nowNanos - nanos(order, passed), announcedShare(told));
    }

    /**
     * An order that a router follows already, as the platform's store has it now. What was written of it tells a router that learnt of it
     * late, or that was suspended meanwhile, how much of its time has passed.
     */
    public FollowedOrder renew(FollowedOrder before, VersionOrder told, long nowNanos) {
        long begun = nowNanos - nanos(told, told.progress().written());
        long seen = before.seenNanos() - begun <= 0 ? before.seenNanos() : begun;
        MoveProgress earlier = before.order().progress();
        boolean isSameStep = earlier.stage() == told.progress().stage();
        double shareBefore = isSameStep ? before.shareBefore() : announcedShare(earlier);
        return new FollowedOrder(told, seen, Math.max(before.shareBefore(), shareBefore));
    }

    private static long nanos(VersionOrder order, double part) {
        return (long) (order.duration().toNanos() * part);
    }

    /** The progress of an order whose trial begins, reviewed by this router. */
    public MoveProgress trial(String reviewer, double progress) {
        return new MoveProgress(MoveStage.TRIAL, trialShare, BEGINNINGS.get(MoveStage.TRIAL), progress, reviewer);
    }

    /** The step after the announced one, in force once every router has heard of it. */
    MoveProgress next(VersionOrder order, double progress) {
        double from = progress + notice(order);
        return switch (order.progress().stage()) {
            case HELD, TRIAL -> order.progress().withStep(MoveStage.SHARED, sharedShare(from), from, progress);
            case SHARED, ALL -> all(order, progress);
        };
    }

    /** The last step, in force once every router has heard of it. */
    MoveProgress all(VersionOrder order, double progress) {
        return order.progress().withStep(MoveStage.ALL, 1, progress + notice(order), progress);
    }

    /** What the trial has left of the exposure, spread over the time until the decision. */
    private double sharedShare(double from) {
        double left = exposure - trialShare * (from - BEGINNINGS.get(MoveStage.TRIAL));
        double time = DECISION - from;
        return time <= 0 ? trialShare : Math.max(trialShare, Math.min(MOST_SHARED, left / time));
    }

    private static double notice(VersionOrder order) {
        return Math.min(
                MOST_NOTICE,
                (double) NOTICE.toNanos() / Math.max(1, order.duration().toNanos()));
    }

    /** Whether the step after the announced one may be taken, if the target is found sound. */
    boolean mayStep(VersionOrder order, double progress) {
        MoveProgress told = order.progress();
        return switch (told.stage()) {
            case HELD, TRIAL -> progress >= BEGINNINGS.get(MoveStage.SHARED);
            case SHARED -> progress >= told.from() + BEGINNINGS.get(MoveStage.ALL) - BEGINNINGS.get(MoveStage.SHARED);
            case ALL -> false;
        };
    }

    /** Whether it has to be decided now what becomes of a target that was not found sound. */
    boolean isDecisionDue(VersionOrder order, double progress) {
        return progress >= DECISION && order.progress().stage() != MoveStage.ALL;
    }

    /** The time over which routers spread their writes of the same change. */
    public Duration writeSpread(VersionOrder order) {
        return Duration.ofNanos(nanos(order, WRITE_SPREAD));
    }

    /** Whether the order should be reported as completed. */
    public boolean isComplete(FollowedOrder followed, long nowNanos) {
        MoveProgress told = followed.order().progress();
        return followed.order().state() == VersionOrder.State.MOVING
                && told.stage() == MoveStage.ALL
                && followed.progress(nowNanos) >= Math.max(COMPLETION, told.from() + SETTLING);
    }
}
