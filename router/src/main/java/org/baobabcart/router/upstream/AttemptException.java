package org.baobabcart.router.upstream;

import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.policy.retry.FailureKind;

/** The failure of one attempt at an upstream. Immutable. */
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

    /** A failure at an upstream. */
    public static AttemptException of(FailureKind kind, String upstream, String detail) {
        return new AttemptException(kind, upstream, detail, null);
    }

    /** A failure at an upstream with the exception that led to it. */
    public static AttemptException of(FailureKind kind, String upstream, Throwable cause) {
        return new AttemptException(kind, upstream, String.valueOf(cause.getMessage()), cause);
    }

    /** How the attempt failed. */
    public FailureKind kind() {
        return kind;
    }

    /** The upstream's name. */
    public String upstream() {
        return upstream;
    }

    /** What happened, without the upstream's name. */
    public String detail() {
        return detail;
    }

    /** The failure as the caller sees it. */
    public BaobabcartException toResult() {
        return BaobabcartException.of(kind.code()).withRan(kind.ran()).withCause(this);
    }
}
