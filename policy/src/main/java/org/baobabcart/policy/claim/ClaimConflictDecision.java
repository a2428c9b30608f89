package org.baobabcart.policy.claim;

/** The decision on a call whose key is claimed by another attempt without a stored outcome. */
public enum ClaimConflictDecision {
    /** The other attempt is never sent; its claim may be taken over. */
    TAKE_OVER,
    /** The other attempt is waiting or running. */
    IN_PROGRESS,
    /** The other attempt may have run and its outcome can't be determined. */
    OUTCOME_UNKNOWN,
    /** The key was used for a different call. */
    KEY_REUSED;

    /** The state of the other attempt as reported by its claimant. */
    public enum ClaimantReport {
        /** The claimant has no record of the attempt; it may have restarted since. */
        UNSEEN,
        /** The call was not sent but may still be. */
        WAITING,
        /** The call may have been sent. */
        DISPATCHED,
        /** The call was not sent and never will be. */
        ABANDONED,
        /** The claimant did not answer. */
        UNREACHABLE
    }

    /** Decides by the existing claim, the digest of the new call and the claimant's report. */
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
