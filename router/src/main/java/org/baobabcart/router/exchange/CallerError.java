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
 * An error as callers see it. Immutable.
 *
 * @param code the numbered code
 * @param message one or two sentences
 * @param ran whether an upstream may have received the request
 * @param retryAfterMillis when a retry may help
 */
public record CallerError(ResultCode code, String message, Ran ran, OptionalLong retryAfterMillis) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1000;

    /**
     * The refusal for a failure. Where the failure names no time to come back, callers' retries are spread, so that callers
     * refused together do not return together.
     *
     * @param mayHaveRun whether any byte of the request was sent to an upstream
     * @param usualRetryAfter about when to come back where the failure passes but names no time
     */
    public static CallerError of(Throwable failure, boolean mayHaveRun, Duration usualRetryAfter) {
        BaobabcartException exception = failure instanceof BaobabcartException known
                ? known
                : BaobabcartException.of(ResultCode.INTERNAL).withCause(failure);
        Ran ran = mayHaveRun ? Ran.UNKNOWN : exception.ran();
        String detail = exception.detail();
        String message = exception.code().summary() + (detail.isEmpty() ? "" : ": " + detail);
        return new CallerError(exception.code(), message, ran, retryAfter(exception, usualRetryAfter));
    }

    /** The JSON text {@code {"error": {...}}}. */
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

    /** The value of the {@code Retry-After} header in whole seconds, rounded up. */
    public OptionalLong retryAfterSeconds() {
        if (retryAfterMillis.isEmpty()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of((retryAfterMillis.getAsLong() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }

    private static OptionalLong retryAfter(BaobabcartException exception, Duration usual) {
        boolean helps = exception.retryAfter().isPresent() || isPassing(exception.code());
        if (!helps) {
            return OptionalLong.empty();
        }
        Duration wait = exception.retryAfter().orElseGet(() -> spread(usual));
        return OptionalLong.of(Math.max(1, wait.toMillis()));
    }

    private static Duration spread(Duration usual) {
        double spread = ThreadLocalRandom.current().nextDouble(0.5, 1.5);
        return Duration.ofMillis(Math.round(usual.toMillis() * spread));
    }

    private static boolean isPassing(ResultCode code) {
        return switch (code) {
            case QUEUE_FULL,
                    DEADLINE_UNREACHABLE,
                    RANK_SHED,
                    STOPPING,
                    NOT_READY,
                    NO_UPSTREAM,
                    UPSTREAM_UNREACHABLE,
                    KEY_IN_PROGRESS,
                    CLAIM_UNAVAILABLE -> true;
            default -> false;
        };
    }
}
