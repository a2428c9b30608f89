package org.baobabcart.policy.rollout;

/**
 * A point from which evidence is counted anew. Immutable.
 *
 * @param number the window's number within the stage, from one
 * @param newStart the new version's totals when it began
 * @param oldStart the old version's totals when it began
 */
record EvidenceWindow(long number, VersionTotals newStart, VersionTotals oldStart) {
    private static final EvidenceWindow WHOLE_STAGE = new EvidenceWindow(1, VersionTotals.zero(), VersionTotals.zero());

    /** The window that begins with the stage. */
    static EvidenceWindow wholeStage() {
        return WHOLE_STAGE;
    }
}
