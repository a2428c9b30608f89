package org.baobabcart.model.result;

import java.time.Duration;
import java.util.Optional;

/**
 * Unchecked failure with a numbered code, remade by {@code with} methods rather than changed.
 *
 * <p>The location, when present, names the setting, JSON path or upstream concerned.
 */
public final class BaobabcartException extends RuntimeException {
    private final ResultCode code;
    private final Ran ran;
    private final String detail;
    private final String location;
    private final Duration retryAfter;

    private BaobabcartException(
            ResultCode code, Ran ran, String detail, String location, Duration retryAfter, Throwable cause) {
        super(text(code, detail, location), cause);
        this.code = code;
        this.ran = ran;
        this.detail = detail;
        this.location = location;
        this.retryAfter = retryAfter;
    }

    /** A failure with the code's own summary. */
    public static BaobabcartException of(ResultCode code) {
        return new BaobabcartException(code, code.ran(), "", "", null, null);
    }

    /** A failure with details of the single case. */
    public static BaobabcartException of(ResultCode code, String detail) {
        return new BaobabcartException(code, code.ran(), detail, "", null, null);
    }

    /** The same failure at a location: a setting's name, a JSON path or an upstream's name. */
    public BaobabcartException withLocation(String newLocation) {
        return new BaobabcartException(code, ran, detail, newLocation, retryAfter, getCause());
    }

    /** The same failure with the time after which a retry may help. */
    public BaobabcartException withRetryAfter(Duration newRetryAfter) {
        return new BaobabcartException(code, ran, detail, location, newRetryAfter, getCause());
    }

    /** The same failure with another statement on whether an upstream received the request. */
    public BaobabcartException withRan(Ran newRan) {
        return new BaobabcartException(code, newRan, detail, location, retryAfter, getCause());
    }

    /** The same failure with the exception that led to it. */
    public BaobabcartException withCause(Throwable cause) {
        return new BaobabcartException(code, ran, detail, location, retryAfter, cause);
    }

    /** The numbered code. */
    public ResultCode code() {
        return code;
    }

    /** Whether an upstream may have received the request. */
    public Ran ran() {
        return ran;
    }

    /** Details of the single case; empty where there are none. */
    public String detail() {
        return detail;
    }

    /** The setting, JSON path or upstream concerned; empty where there is none. */
    public String location() {
        return location;
    }

    /** The time after which a retry may help. */
    public Optional<Duration> retryAfter() {
        return Optional.ofNullable(retryAfter);
    }

    private static String text(ResultCode code, String detail, String location) {
        String place = location.isEmpty() ? "" : location + ": ";
        String more = detail.isEmpty() ? "" : ": " + detail;
        return place + code.summary() + more;
    }
}
