package org.baobabcart.model.result;

import java.time.Duration;
import java.util.Optional;

/**
 * An unchecked exception with a numbered result code. The {@code with} methods return modified copies.
 *
 * <p>The location, if present, is the name of a setting, a JSON path or the name of an upstream.
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

    /** Creates an exception whose message is the code's summary. */
    public static BaobabcartException of(ResultCode code) {
        return new BaobabcartException(code, code.ran(), "", "", null, null);
    }

    /** Creates an exception with details about this occurrence. */
    public static BaobabcartException of(ResultCode code, String detail) {
        return new BaobabcartException(code, code.ran(), detail, "", null, null);
    }

    /** Returns a copy with a location: a setting's name, a JSON path or an upstream's name. */
    public BaobabcartException withLocation(String newLocation) {
        return new BaobabcartException(code, ran, detail, newLocation, retryAfter, getCause());
    }

    /** Returns a copy with the time after which a retry may succeed. */
    public BaobabcartException withRetryAfter(Duration newRetryAfter) {
        return new BaobabcartException(code, ran, detail, location, newRetryAfter, getCause());
    }

    /** Returns a copy with another value for whether an upstream may have received the request. */
    public BaobabcartException withRan(Ran newRan) {
        return new BaobabcartException(code, newRan, detail, location, retryAfter, getCause());
    }

    /** Returns a copy with a cause. */
    public BaobabcartException withCause(Throwable cause) {
        return new BaobabcartException(code, ran, detail, location, retryAfter, cause);
    }

    /** Returns the numbered code. */
    public ResultCode code() {
        return code;
    }

    /** Returns whether an upstream may have received the request. */
    public Ran ran() {
        return ran;
    }

    /** Returns details about this occurrence, or an empty string. */
    public String detail() {
        return detail;
    }

    /** Returns the name of a setting, the JSON path or the name of an upstream, or an empty string. */
    public String location() {
        return location;
    }

    /** Returns the time after which a retry may succeed, if known. */
    public Optional<Duration> retryAfter() {
        return Optional.ofNullable(retryAfter);
    }

    private static String text(ResultCode code, String detail, String location) {
        String place = location.isEmpty() ? "" : location + ": ";
        String more = detail.isEmpty() ? "" : ": " + detail;
        return place + code.summary() + more;
    }
}
