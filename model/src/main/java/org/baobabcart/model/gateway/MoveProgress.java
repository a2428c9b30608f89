package org.baobabcart.model.gateway;

/**
 * The progress of a version move, as its reviewer last wrote it to the platform. Immutable.
 *
 * <p>A stage is announced before it takes effect. It starts at a fraction of the order's duration, which all routers reach at nearly
 * the same time. Otherwise a session whose requests arrive at several routers could switch to the target and back.
 *
 * @param stage the last announced stage
 * @param share the fraction of requests that are sent to the target in that stage
 * @param effectiveFrom the fraction of the order's duration after which that stage is in effect
 * @param writtenAt the fraction of the order's duration that had elapsed when this was written
 * @param reviewer the name of the router that decides on the next stage; empty if there is none
 */
public record MoveProgress(MoveStage stage, double share, double effectiveFrom, double writtenAt, String reviewer) {
    private static final MoveProgress NONE = new MoveProgress(MoveStage.HELD, 0, 0, 0, "");

    /** Returns the progress of an order that has not started. */
    public static MoveProgress none() {
        return NONE;
    }

    /** Returns a copy with the same stage, confirmed by a reviewer at the given time. */
    public MoveProgress withReviewer(String newReviewer, double newWrittenAt) {
        return new MoveProgress(stage, share, effectiveFrom, newWrittenAt, newReviewer);
    }

    /** Returns a copy with another stage and the same reviewer. */
    public MoveProgress withStage(MoveStage newStage, double newShare, double newEffectiveFrom, double newWrittenAt) {
        return new MoveProgress(newStage, newShare, newEffectiveFrom, newWrittenAt, reviewer);
    }

    /** Returns whether a router reviews the move. */
    public boolean isReviewed() {
        return !reviewer.isEmpty();
    }
}
