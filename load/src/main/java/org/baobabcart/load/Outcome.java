package org.baobabcart.load;

/** Outcome of a request for its caller. */
public enum Outcome {
    /** The response was complete. */
    COMPLETE,
    /** The error response states that the request did not run. */
    REFUSED,
    /** The request failed, and it is unknown whether it ran. */
    FAILED,
    /** The response was incomplete. */
    BROKEN,
    /** The request timed out. */
    TIMED_OUT
}
