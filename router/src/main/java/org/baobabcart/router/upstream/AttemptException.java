package org.baobabcart.router.upstream;

import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.router.timeline.EventFields;

/** Thrown when an attempt to send a request to an upstream fails. Immutable. */
public final class AttemptException extends RuntimeException {
    private final FailureKind kind;
    private final String upstream;
    private final String detail;
    private final EventFields answer;

    private AttemptException(FailureKind kind, String upstream, String detail, Throwable cause, EventFields answer) {
        super(kind + " at " + upstream + ": " + detail, cause, false, false);
        this.kind = kind;
        this.upstream = upstream;
        this.detail = detail;
        this.answer = answer;
    }

    /** Creates a failure with a description. */
    public static AttemptException of(FailureKind kind, String upstream, String detail) {
        return new AttemptException(kind, upstream, detail, null, EventFields.none());
    }

    /** Creates a failure caused by an exception. */
    public static AttemptException of(FailureKind kind, String upstream, Throwable cause) {
        return new AttemptException(kind, upstream, String.valueOf(cause.getMessage()), cause, EventFields.none());
    }

    /** Returns the same failure with a description of the connection and of the response as far as it was received. */
    AttemptException withAnswer(EventFields newAnswer) {
        return new AttemptException(kind, upstream, detail, getCause(), newAnswer);
    }

    /** Returns the connection and the head of the response as it was received, for logs; nothing if nothing was sent. */
    public EventFields answer() {
        return answer;
    }

    /** Returns the kind of failure. */
    public FailureKind kind() {
        return kind;
    }

    /** Returns the name of the upstream. */
    public String upstream() {
        return upstream;
    }

    /** Returns a description of the failure, without the upstream's name. */
    public String detail() {
        return detail;
    }

    /** Converts this failure to the error that is reported to the caller. */
    public BaobabcartException toResult() {
        return BaobabcartException.of(kind.code()).withRan(kind.ran()).withCause(this);
    }
}
