package org.baobabcart.router.upstream;

import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.policy.retry.FailureKind;

/** Thrown when an attempt to send a request to an upstream fails. Immutable. */
public final class AttemptException extends RuntimeException {
    private final FailureKind kind;
    private final String upstream;
    private final String detail;

    private AttemptException(FailureKind kind, String upstream, String detail, Throwable cause) {
        super(kind + " at " + upstream + ": " + detail, cause, false, false);
        this.kind = kind;
        this.upstream = upstream;
        this.detail = detail;
    }

    /** Creates a failure with a description. */
    public static AttemptException of(FailureKind kind, String upstream, String detail) {
        return new AttemptException(kind, upstream, detail, null);
    }

    /** Creates a failure caused by an exception. */
    public static AttemptException of(FailureKind kind, String upstream, Throwable cause) {
        return new AttemptException(kind, upstream, String.valueOf(cause.getMessage()), cause);
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
