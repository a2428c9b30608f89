package org.baobabcart.policy.claim;

/**
 * An attempt as its claimant remembers it. Immutable.
 *
 * <p>The claimant's rule: an attempt is at one upstream at most at a time, and is sent only while it holds a grant, and only within a bound since
 * before the claim was asked for, measured on the claimant's own monotonic clock. An attempt that was once called
 * abandoned is never sent, so that another attempt may take over its claim.
 *
 * @param state where the attempt stands
 * @param requestedNanos the claimant's monotonic time before it asked for the claim
 */
public record Attempt(State state, long requestedNanos) {
    /** Age in nanoseconds at which a grant that was not used becomes void. */
    public static final long GRANT_BOUND_NANOS = 10_000_000_000L;

    /** States of an attempt. */
    public enum State {
        /** The claim was asked for. */
        REQUESTED,
        /** The claim was granted and nothing sent. */
        GRANTED,
        /** The call may have been sent. */
        DISPATCHED,
        /** Nothing was sent and never will be. */
        ABANDONED
    }

    /** An attempt whose claim is about to be asked for. */
    public static Attempt requested(long nowNanos) {
        return new Attempt(State.REQUESTED, nowNanos);
    }

    /** The attempt after a grant has arrived; an abandoned one stays abandoned. */
    public Attempt granted() {
        return state == State.REQUESTED ? new Attempt(State.GRANTED, requestedNanos) : this;
    }

    /** The attempt at a time: a grant that is too old is abandoned. */
    public Attempt at(long nowNanos) {
        boolean unused = state == State.REQUESTED || state == State.GRANTED;
        return unused && nowNanos - requestedNanos > GRANT_BOUND_NANOS ? abandoned() : this;
    }

    /** The attempt after the claimant was asked to send it; dispatched only if it may be sent now. */
    public Attempt dispatched(long nowNanos) {
        Attempt current = at(nowNanos);
        return current.state == State.GRANTED ? new Attempt(State.DISPATCHED, requestedNanos) : current;
    }

    /** The attempt after the upstream it was sent to stated that it did not run it; it may be sent to another. */
    public Attempt returned() {
        return state == State.DISPATCHED ? new Attempt(State.GRANTED, requestedNanos) : this;
    }

    /** The attempt after it was given up; one that may have been sent stays as it is. */
    public Attempt abandoned() {
        return state == State.DISPATCHED ? this : new Attempt(State.ABANDONED, requestedNanos);
    }

    /** The attempt after its claimant knows that no upstream received it. */
    public Attempt notRun() {
        return new Attempt(State.ABANDONED, requestedNanos);
    }
}
