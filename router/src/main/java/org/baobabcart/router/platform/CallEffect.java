package org.baobabcart.router.platform;

import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.UnknownHostException;
import org.baobabcart.model.request.RetryAfter;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/** Whether a call may change the platform, and what its failures mean therefore. Thread-safe. */
public enum CallEffect {
    /** The call changes nothing, so that no failure leaves a doubt. */
    NONE(ResultCode.PLATFORM_UNAVAILABLE),
    /** The call writes; once a byte may have been sent, the write may have taken effect. */
    WRITE(ResultCode.WRITE_OUTCOME_UNKNOWN);

    private final ResultCode doubtful;

    CallEffect(ResultCode doubtful) {
        this.doubtful = doubtful;
    }

    /** The failure of a call that got no answer. */
    public Throwable fromCause(Throwable cause) {
        if (cause instanceof BaobabcartException) {
            return cause;
        }
        ResultCode code = neverSent(cause) ? ResultCode.PLATFORM_UNAVAILABLE : doubtful;
        return BaobabcartException.of(code, String.valueOf(cause.getMessage())).withCause(cause);
    }

    /** The failure of a call that was answered with an error status. */
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
            default -> status >= 500 ? doubtful : ResultCode.INTERNAL;
        };
    }

    private static boolean neverSent(Throwable cause) {
        return cause instanceof ConnectException
                || cause instanceof NoRouteToHostException
                || cause instanceof UnknownHostException;
    }
}
