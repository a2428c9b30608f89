package org.baobabcart.policy.claim;

import org.baobabcart.policy.claim.ClaimSimulation.CallOutcome;

/** A call that a caller makes through one incarnation of a node. */
final class Call {
    final int node;
    final int incarnation;
    final ClaimKey key;
    final String attemptId;
    CallOutcome outcome;
    String replayed = "";

    Call(int node, int incarnation, ClaimKey key, String attemptId) {
        this.node = node;
        this.incarnation = incarnation;
        this.key = key;
        this.attemptId = attemptId;
    }

    void complete(CallOutcome newOutcome) {
        if (outcome == null) {
            outcome = newOutcome;
        }
    }
}
