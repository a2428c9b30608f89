package org.baobabcart.policy.member;

/** Liveness of a member, ordered so that the later constant wins at the same incarnation. */
public enum Liveness {
    /** The member responds. */
    ALIVE,
    /** The member did not respond and still has time to refute the suspicion. */
    SUSPECT,
    /** The member has started a planned stop. */
    LEAVING,
    /** The member is gone. */
    DEAD
}
