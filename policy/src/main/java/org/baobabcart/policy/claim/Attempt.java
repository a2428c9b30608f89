package org.baobabcart.policy.claim;

/**
 * The state of an attempt as recorded by its claimant, the router that makes it. Immutable.
 *
 * <p>An attempt is at no more than one upstream at a time. It is sent only if its claim was granted, and only within
 * {@link #GRANT_BOUND_NANOS} of the time before the claim was requested, measured on the claimant's own monotonic
 * clock. An abandoned attempt is never sent, so that another attempt may take over its claim.
 *
 * @param state the state
 * @param requestedNanos the claimant's monotonic time before it requested the claim
 */
public record Attempt(State state, long requestedNanos) {
    /** The age in nanoseconds at which an unused grant expires. */
    public static final long GRANT_BOUND_NANOS = 10_000_000_000L;

    /** States of an attempt. */
    public enum State {
        /** The claim was requested. */
        REQUESTED,
        /** The claim was granted; the call was not sent. */
        GRANTED,
        /** The call may have been sent. */
        DISPATCHED,
        /** The call was not sent and never will be. */
        ABANDONED
    }

    /** Creates an attempt whose claim is about to be requested. */
    public static Attempt requested(long nowNanos) {
        return new Attempt(State.REQUESTED, nowNanos);
    }

    /** Returns the attempt after a grant was received; an abandoned attempt stays abandoned. */
    public Attempt granted() {
        return state == State.REQUESTED ? new Attempt(State.GRANTED, requestedNanos) : this;
    }

    /** Returns the attempt at the given time; it is abandoned if its grant has expired unused. */
    public Attempt at(long nowNanos) {
        boolean unused = state == State.REQUESTED || state == State.GRANTED;
        return unused && nowNanos - requestedNanos > GRANT_BOUND_NANOS ? abandoned() : this;
    }

    /** Returns the attempt after a request to send it; it becomes dispatched only if it may be sent now. */
    public Attempt dispatched(long nowNanos) {
        Attempt current = at(nowNanos);
        return current.state == State.GRANTED ? new Attempt(State.DISPATCHED, requestedNanos) : current;
    }

    /**
     * Returns the attempt after its upstream stated that it did not run it, so that it may be sent to another upstream.
     */
    public Attempt returned() {
        return state == State.DISPATCHED ? new Attempt(State.GRANTED, requestedNanos) : this;
    }

    /** Returns the attempt after it was abandoned; has no effect if the call may have been sent. */
    public Attempt abandoned() {
        return state == State.DISPATCHED ? this : new Attempt(State.ABANDONED, requestedNanos);
    }

    /** Returns the attempt after its claimant has learned that no upstream received it. */
    public Attempt notRun() {
        return new Attempt(State.ABANDONED, requestedNanos);
    }
}
