package org.baobabcart.router.traffic;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.baobabcart.router.exchange.CallerError;
import org.baobabcart.router.exchange.ErrorFormat;

/** The error format of the caller API. Immutable. */
final class CallerErrorFormat implements ErrorFormat {
    /** A few dispatch intervals of a busy engine, in whole seconds as the header requires. */
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

    @Override
    public String metricPrefix() {
        return "caller";
    }

    @Override
    public Duration defaultRetryAfter() {
        return DEFAULT_RETRY_AFTER;
    }

    @Override
    public Map<String, String> headers(String requestId, CallerError error) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Content-Type", "application/json");
        error.retryAfterSeconds().ifPresent(seconds -> headers.put("Retry-After", Long.toString(seconds)));
        return headers;
    }

    @Override
    public Optional<Buffer> finalEvent(CallerError error) {
        return Optional.of(Buffer.buffer("event: error\ndata: " + error.toJson() + "\n\n"));
    }
}
