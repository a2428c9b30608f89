package org.baobabcart.load;

/** How a request ended for its caller. */
public enum Outcome {
    /** A whole answer. */
    COMPLETE,
    /** A refusal that says that no upstream received the request. */
    REFUSED,
    /** A failure after which it is unknown whether the request ran. */
    FAILED,
    /** An answer that broke off. */
    BROKEN,
    /** No end before the time was up. */
    TIMED_OUT
}
