package org.baobabcart.model.rollout;

/** The status of a roll-out. */
public enum RollOutStatus {
    /** The new version receives the share of new work that the stage defines. */
    RUNNING(true),
    /** The share of the stage remains in force until an operator resumes the roll-out. */
    PAUSED(true),
    /** The roll-out was stopped, and the new version receives no new work. */
    STOPPED(false),
    /** All stages are complete. */
    DONE(true);

    private final boolean serving;

    RollOutStatus(boolean serving) {
        this.serving = serving;
    }

    /** Returns whether the new version may receive new work. */
    public boolean serving() {
        return serving;
    }
}
