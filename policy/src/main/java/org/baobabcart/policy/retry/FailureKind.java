package org.baobabcart.policy.retry;

import org.baobabcart.model.result.Ran;
import org.baobabcart.model.result.ResultCode;

/** How an attempt at an upstream failed, and what follows from it. */
public enum FailureKind {
    /** No connection could be made, so no byte was sent. */
    NOT_CONNECTED(ResultCode.UPSTREAM_UNREACHABLE, Ran.NO),
    /** The upstream states that it has not run the request. */
    NOT_RUN(ResultCode.NO_UPSTREAM, Ran.NO),
    /** The connection broke before the answer was complete. */
    BROKEN(ResultCode.UPSTREAM_FAILED, Ran.UNKNOWN),
    /** The upstream answered that it failed. */
    FAILED(ResultCode.UPSTREAM_FAILED, Ran.UNKNOWN),
    /** No byte arrived within the progress deadline. */
    SILENT(ResultCode.UPSTREAM_TIMEOUT, Ran.UNKNOWN),
    /** The answer belongs to another attempt. */
    CROSSED(ResultCode.UPSTREAM_FAILED, Ran.UNKNOWN),
    /** The answer ended without its closing mark or is longer than the router keeps. */
    INCOMPLETE(ResultCode.ANSWER_INCOMPLETE, Ran.UNKNOWN),
    /** This side gave the answer up for one of a larger model, before any of it was passed on. */
    ESCALATED(ResultCode.UPSTREAM_FAILED, Ran.UNKNOWN),
    /** The answer ran past the request's own deadline. */
    DEADLINE(ResultCode.UPSTREAM_TIMEOUT, Ran.UNKNOWN);

    private final ResultCode code;
    private final Ran ran;

    FailureKind(ResultCode code, Ran ran) {
        this.code = code;
        this.ran = ran;
    }

    /** The code that the caller sees when no further attempt is made. */
    public ResultCode code() {
        return code;
    }

    /** Whether an upstream may have received the request. */
    public Ran ran() {
        return ran;
    }

    /** Whether another attempt is allowed, given whether the call may run more than once. */
    public boolean retryable(boolean repeatable) {
        if (this == DEADLINE) {
            return false;
        }
        return repeatable || ran == Ran.NO;
    }
}
