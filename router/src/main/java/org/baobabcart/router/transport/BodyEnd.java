package org.baobabcart.router.transport;

/** How a response body ended. */
public enum BodyEnd {
    /** The response has no body. */
    NO_BODY(true, "the response has no body"),
    /** All bytes of the declared length have arrived. */
    LENGTH_REACHED(true, "the declared length has arrived"),
    /** The last chunk has arrived. */
    LAST_CHUNK(true, "the last chunk has arrived"),
    /** The peer closed the connection in order, which completes a body without a length. */
    CLOSED_BY_PEER(true, "the peer closed the connection"),
    /** The connection was closed on this side, by a decision of this process or because a write failed. */
    CLOSED_BY_ROUTER(false, "the connection was closed on this side before the peer ended the body"),
    /** The peer closed the connection before it had the whole request, so that a body without a length may be cut. */
    CLOSED_BEFORE_REQUEST(false, "the peer closed the connection before the request was written in full"),
    /** The body has a transfer coding that cannot be decoded. */
    UNDECODABLE(false, "the transfer coding of the body is not supported");

    private final boolean complete;
    private final String description;

    BodyEnd(boolean complete, String description) {
        this.complete = complete;
        this.description = description;
    }

    /** Returns whether the body is complete. */
    public boolean isComplete() {
        return complete;
    }

    /** Returns a description for logs and failures. */
    public String description() {
        return description;
    }
}
