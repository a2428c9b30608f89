package org.baobabcart.router.order;

/** What became of the sending of an order. */
public enum OrderAnswer {
    /** The engine obeys, has obeyed before, or serves the version already. */
    ACCEPTED,
    /** The engine has seen a greater fencing number. */
    STALE,
    /** The engine refuses for another reason. */
    REFUSED,
    /** No answer came; the engine may have taken the order. */
    UNKNOWN,
    /** The lease ran out before the order was sent. */
    NOT_SENT
}
