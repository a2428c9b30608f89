package org.baobabcart.model.gateway;

/** Whether a request of a route may be sent to an upstream again after an attempt that may have run. */
public enum RetryPolicy {
    /** The request is idempotent. */
    REPEATABLE(true, false),
    /** The request may run at most once. */
    ONCE(false, false),
    /** The answer is a stream of events that may run at most once. */
    STREAM_ONCE(false, true),
    /** The answer is a stream of events that another upstream continues after the last event that was passed on. */
    STREAM_RESUMABLE(true, true);

    private final boolean repeatable;
    private final boolean streamed;

    RetryPolicy(boolean repeatable, boolean streamed) {
        this.repeatable = repeatable;
        this.streamed = streamed;
    }

    /** Whether an attempt may follow one that may have run. */
    public boolean repeatable() {
        return repeatable;
    }

    /** Whether the answer is a stream of events. */
    public boolean streamed() {
        return streamed;
    }
}
