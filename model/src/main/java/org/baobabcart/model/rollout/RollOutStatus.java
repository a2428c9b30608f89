package org.baobabcart.model.rollout;

/** Where a roll-out stands. */
public enum RollOutStatus {
    /** New work goes to the new version by the share of the stage. */
    RUNNING(true),
    /** The share of the stage stays until an operator resumes. */
    PAUSED(true),
    /** The new version was found bad and gets no new work. */
    STOPPED(false),
    /** All stages have passed. */
    DONE(true);

    private final boolean serving;

    RollOutStatus(boolean serving) {
        this.serving = serving;
    }

    /** Whether the new version may receive new work. */
    public boolean serving() {
        return serving;
    }
}
