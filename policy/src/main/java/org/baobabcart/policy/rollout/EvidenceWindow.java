package org.baobabcart.policy.rollout;

/**
 * The start of a window over which evidence is counted. Immutable.
 *
 * @param number the number of the window within the stage, starting at 1
 * @param newStart the new version's totals at the start of the window
 * @param oldStart the old version's totals at the start of the window
 */
record EvidenceWindow(long number, VersionTotals newStart, VersionTotals oldStart) {
    private static final EvidenceWindow WHOLE_STAGE = new EvidenceWindow(1, VersionTotals.zero(), VersionTotals.zero());

    /** Returns the window that covers the whole stage. */
    static EvidenceWindow wholeStage() {
        return WHOLE_STAGE;
    }
}
