package org.baobabcart.policy.member;

/** Liveness of a member, ordered so that at the same incarnation the later one wins. */
public enum Liveness {
    /** The member answers. */
    ALIVE,
    /** The member did not answer and has time to refute that. */
    SUSPECT,
    /** The member has begun a planned stop. */
    LEAVING,
    /** The member is gone. */
    DEAD
}
