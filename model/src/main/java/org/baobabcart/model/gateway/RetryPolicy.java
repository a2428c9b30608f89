package org.baobabcart.model.gateway;

/** Defines whether a request of a route may be sent again after an attempt that an upstream may have executed. */
public enum RetryPolicy {
    /** The request is idempotent. */
    REPEATABLE(true, false),
    /** The request must be executed at most once. */
    ONCE(false, false),
    /** The response is an event stream, and the request must be executed at most once. */
    STREAM_ONCE(false, true),
    /** The response is an event stream that another upstream can resume after the last forwarded event. */
    STREAM_RESUMABLE(true, true);

    private final boolean repeatable;
    private final boolean streamed;

    RetryPolicy(boolean repeatable, boolean streamed) {
        this.repeatable = repeatable;
        this.streamed = streamed;
    }

    /** Returns whether another attempt is allowed after one that may have been executed. */
    public boolean repeatable() {
        return repeatable;
    }

    /** Returns whether the response is an event stream. */
    public boolean streamed() {
        return streamed;
    }
}
