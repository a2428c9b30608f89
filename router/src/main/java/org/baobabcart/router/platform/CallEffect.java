package org.baobabcart.router.platform;

import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.UnknownHostException;
import org.baobabcart.model.request.RetryAfter;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/** Effect of a platform call, which determines the result codes of its failures. Thread-safe. */
public enum CallEffect {
    /** The call changes nothing, so its failures are never ambiguous. */
    NONE(ResultCode.PLATFORM_UNAVAILABLE),
    /** The call writes. Once a byte may have been sent, the write may have taken effect. */
    WRITE(ResultCode.WRITE_OUTCOME_UNKNOWN);

    private final ResultCode ambiguousCode;

    CallEffect(ResultCode ambiguousCode) {
        this.ambiguousCode = ambiguousCode;
    }

    /** Returns the exception of a call that got no response, or one that cannot be decoded. */
    public Throwable fromCause(Throwable cause) {
        if (cause instanceof BaobabcartException known) {
            boolean unknownOutcome = this == WRITE && known.code() == ResultCode.RESPONSE_UNREADABLE;
            return unknownOutcome
                    ? BaobabcartException.of(ambiguousCode, known.getMessage()).withCause(known)
                    : known;
        }
        ResultCode code = neverSent(cause) ? ResultCode.PLATFORM_UNAVAILABLE : ambiguousCode;
        return BaobabcartException.of(code, String.valueOf(cause.getMessage())).withCause(cause);
    }

    /** Returns the exception of a call whose response no longer holds. */
    public BaobabcartException fromLateAnswer(String message) {
        return BaobabcartException.of(ambiguousCode, message);
    }

    /** Returns the exception of a call that got an error status. */
    public BaobabcartException fromStatus(int status, String message, String retryAfterSeconds) {
        ResultCode code = code(status);
        BaobabcartException failure = BaobabcartException.of(code, status + " " + message);
        return RetryAfter.parse(retryAfterSeconds).map(failure::withRetryAfter).orElse(failure);
    }

    private ResultCode code(int status) {
        return switch (status) {
            case 404 -> ResultCode.NOT_FOUND;
            case 409 -> ResultCode.CONFLICT;
            case 410 -> ResultCode.WATCH_EXPIRED;
            case 413 -> ResultCode.BODY_TOO_LARGE;
            case 429 -> ResultCode.PLATFORM_UNAVAILABLE;
            default -> status >= 500 ? ambiguousCode : ResultCode.INTERNAL;
        };
    }

    private static boolean neverSent(Throwable cause) {
        return cause instanceof ConnectException
                || cause instanceof NoRouteToHostException
                || cause instanceof UnknownHostException;
    }
}
