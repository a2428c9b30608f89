package org.baobabcart.policy.claim;

import org.baobabcart.policy.claim.ClaimSimulation.End;

/** A caller's call at one life of a node. */
final class Call {
    final int node;
    final int life;
    final ClaimKey key;
    final String attemptId;
    End end;
    String replayed = "";

    Call(int node, int life, ClaimKey key, String attemptId) {
        this.node = node;
        this.life = life;
        this.key = key;
        this.attemptId = attemptId;
    }

    void end(End newEnd) {
        if (end == null) {
            end = newEnd;
        }
    }
}
