package org.baobabcart.router.order;

/** The result of sending an order. */
public enum OrderSendResult {
    /** The engine executes or has executed the order, or already serves the version. */
    ACCEPTED,
    /** The engine has received a higher fencing number. */
    STALE,
    /** The engine rejected the order for another reason. */
    REFUSED,
    /** No response was received; the engine may have accepted the order. */
    UNKNOWN,
    /** The lease expired before the order was sent. */
    NOT_SENT
}
