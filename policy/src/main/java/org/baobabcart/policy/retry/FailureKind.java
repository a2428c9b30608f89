package org.baobabcart.policy.retry;

import org.baobabcart.model.result.Ran;
import org.baobabcart.model.result.ResultCode;

/** The way in which an attempt at an upstream failed, with its result code and whether it may be retried. */
public enum FailureKind {
    /** No connection could be established, so no byte was sent. */
    NOT_CONNECTED(ResultCode.UPSTREAM_UNREACHABLE, Ran.NO),
    /** The attempt was given up before its first byte, since the control state had changed. */
    NOT_SENT(ResultCode.NO_UPSTREAM, Ran.NO),
    /** Another upstream has the address, and has not run the request. */
    REPLACED(ResultCode.NO_UPSTREAM, Ran.NO),
    /** The upstream reported that it has not run the request. */
    NOT_RUN(ResultCode.NO_UPSTREAM, Ran.NO),
    /** The connection broke before the response was complete. */
    BROKEN(ResultCode.UPSTREAM_FAILED, Ran.UNKNOWN),
    /** The upstream responded with an error. */
    FAILED(ResultCode.UPSTREAM_FAILED, Ran.UNKNOWN),
    /** No byte arrived within the progress timeout. */
    SILENT(ResultCode.UPSTREAM_TIMEOUT, Ran.UNKNOWN),
    /** The first byte is late, and another upstream is expected to respond in time. */
    SLOW(ResultCode.UPSTREAM_TIMEOUT, Ran.UNKNOWN),
    /** The response belongs to another attempt. */
    CROSSED(ResultCode.UPSTREAM_FAILED, Ran.UNKNOWN),
    /** The response ended without its end marker, or exceeds the size that the router buffers. */
    INCOMPLETE(ResultCode.ANSWER_INCOMPLETE, Ran.UNKNOWN),
    /** The router discarded the response in favour of one of a larger model, before any of it was passed on. */
    ESCALATED(ResultCode.UPSTREAM_FAILED, Ran.UNKNOWN),
    /** The response was not complete by the request's own deadline. */
    DEADLINE(ResultCode.UPSTREAM_TIMEOUT, Ran.UNKNOWN);

    private final ResultCode code;
    private final Ran ran;

    FailureKind(ResultCode code, Ran ran) {
        this.code = code;
        this.ran = ran;
    }

    /** Returns the result code that the caller gets if no further attempt is made. */
    public ResultCode code() {
        return code;
    }

    /** Returns whether the upstream may have run the request. */
    public Ran ran() {
        return ran;
    }

    /**
     * Returns whether another attempt is allowed.
     *
     * @param repeatable whether the call may run more than once
     */
    public boolean retryable(boolean repeatable) {
        if (this == DEADLINE) {
            return false;
        }
        return repeatable || ran == Ran.NO;
    }
}
