package org.baobabcart.router.exchange;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.Ran;
import org.baobabcart.model.result.ResultCode;

/**
 * An error as reported to callers. Immutable.
 *
 * @param code the result code
 * @param message one or two sentences
 * @param ran whether an upstream may have run the request
 * @param retryAfterMillis the time after which a retry may succeed; empty if a retry does not help
 */
public record CallerError(ResultCode code, String message, Ran ran, OptionalLong retryAfterMillis) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1000;

    /**
     * Creates the error for a failure. If the failure states no retry time, a random one is chosen, so that callers rejected at
     * the same time do not retry at the same time.
     *
     * @param mayHaveRun whether an upstream may have run the request
     * @param defaultRetryAfter the mean retry time for a temporary failure that states none
     */
    public static CallerError of(Throwable failure, boolean mayHaveRun, Duration defaultRetryAfter) {
        BaobabcartException exception = failure instanceof BaobabcartException known
                ? known
                : BaobabcartException.of(ResultCode.INTERNAL).withCause(failure);
        Ran ran = mayHaveRun ? Ran.UNKNOWN : exception.ran();
        String detail = exception.detail();
        String message = exception.code().summary() + (detail.isEmpty() ? "" : ": " + detail);
        return new CallerError(exception.code(), message, ran, retryAfter(exception, defaultRetryAfter));
    }

    /** Returns the JSON text {@code {"error": {...}}}. */
    public String toJson() {
        ObjectNode error = JsonNodeFactory.instance.objectNode();
        error.put("code", code.number());
        error.put("name", code.name());
        error.put("message", message);
        error.put("ran", ran.text());
        retryAfterMillis.ifPresent(millis -> error.put("retry_after_ms", millis));
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.set("error", error);
        return MAPPER.valueToTree(body).toString();
    }

    /** Returns the value of the {@code Retry-After} header in seconds, rounded up. */
    public OptionalLong retryAfterSeconds() {
        if (retryAfterMillis.isEmpty()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of((retryAfterMillis.getAsLong() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }

    private static OptionalLong retryAfter(BaobabcartException exception, Duration mean) {
        boolean retryHelps = exception.retryAfter().isPresent() || isTemporary(exception.code());
        if (!retryHelps) {
            return OptionalLong.empty();
        }
        Duration wait = exception.retryAfter().orElseGet(() -> randomize(mean));
        return OptionalLong.of(Math.max(1, wait.toMillis()));
    }

    private static Duration randomize(Duration mean) {
        double factor = ThreadLocalRandom.current().nextDouble(0.5, 1.5);
        return Duration.ofMillis(Math.round(mean.toMillis() * factor));
    }

    private static boolean isTemporary(ResultCode code) {
        return switch (code) {
            case QUEUE_FULL,
                    DEADLINE_UNREACHABLE,
                    RANK_SHED,
                    STOPPING,
                    NOT_READY,
                    NO_UPSTREAM,
                    UPSTREAM_UNREACHABLE,
                    REQUEST_SUSPECT,
                    KEY_IN_PROGRESS,
                    CLAIM_UNAVAILABLE -> true;
            default -> false;
        };
    }
}
