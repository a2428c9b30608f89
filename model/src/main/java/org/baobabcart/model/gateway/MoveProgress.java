package org.baobabcart.model.gateway;

/**
 * How far a move has come, as its reviewer last wrote it to the platform. Immutable.
 *
 * <p>A step is announced before it comes into force, by a part of the order's time that all routers reach at nearly the same moment. A
 * session whose requests meet several routers would otherwise go to the target and back.
 *
 * @param stage the last stage that was announced
 * @param share the share of requests that the target gets in that stage
 * @param effectiveFrom the part of the order's time from which that stage is in force
 * @param writtenAt the part of the order's time that had passed when this was written
 * @param reviewer the name of the router that decides on the next stage; empty where none does
 */
public record MoveProgress(MoveStage stage, double share, double effectiveFrom, double writtenAt, String reviewer) {
    private static final MoveProgress NONE = new MoveProgress(MoveStage.HELD, 0, 0, 0, "");

    /** The progress of an order that nothing runs on yet. */
    public static MoveProgress none() {
        return NONE;
    }

    /** The same stage, as a router that reviews the move confirms it. */
    public MoveProgress withReviewer(String newReviewer, double newWrittenAt) {
        return new MoveProgress(stage, share, effectiveFrom, newWrittenAt, newReviewer);
    }

    /** The next stage, announced by the same reviewer. */
    public MoveProgress withStage(MoveStage newStage, double newShare, double newEffectiveFrom, double newWrittenAt) {
        return new MoveProgress(newStage, newShare, newEffectiveFrom, newWrittenAt, reviewer);
    }

    /** Whether some router reviews the move. */
    public boolean isReviewed() {
        return !reviewer.isEmpty();
    }
}
