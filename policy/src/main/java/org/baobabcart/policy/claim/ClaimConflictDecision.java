package org.baobabcart.policy.claim;

/** What a caller is told whose key is held by another attempt with no stored outcome. Thread-safe. */
public enum ClaimConflictDecision {
    /** The other attempt is never sent: its claim may be taken over. */
    TAKE_OVER,
    /** The other attempt waits or runs. */
    IN_PROGRESS,
    /** The other attempt may have run and nobody can tell. */
    OUTCOME_UNKNOWN,
    /** The key was used for a different call. */
    KEY_REUSED;

    /** What the claimant of the other attempt says. */
    public enum ClaimantReport {
        /** It does not remember the attempt, so that it may have been restarted since. */
        UNSEEN,
        /** The attempt was not sent and may yet be. */
        WAITING,
        /** The attempt may have been sent. */
        DISPATCHED,
        /** The attempt was not sent and never will be. */
        ABANDONED,
        /** The claimant gave no answer. */
        UNREACHABLE
    }

    /** Decides by the claim that stands, the digest of the new call and the claimant's report. */
    public static ClaimConflictDecision of(Claim claim, String callDigest, ClaimantReport report) {
        if (report == ClaimantReport.ABANDONED) {
            return TAKE_OVER;
        }
        if (!claim.callDigest().equals(callDigest)) {
            return KEY_REUSED;
        }
        return report == ClaimantReport.WAITING || report == ClaimantReport.DISPATCHED ? IN_PROGRESS : OUTCOME_UNKNOWN;
    }
}
