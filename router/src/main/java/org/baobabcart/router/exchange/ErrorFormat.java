package org.baobabcart.router.exchange;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/** How one interface tells callers of an error. Thread-safe and stateless. */
public interface ErrorFormat {
    /** The first part of the names of this interface's metrics. */
    String metricPrefix();

    /** When a refused caller should come back where the refusal knows no better time. */
    Duration usualRetryAfter();

    /** The headers of an answer that tells only of the error. */
    Map<String, String> headers(String requestId, CallerError refusal);

    /** The end of a stream that has begun; empty where only a closed connection tells that the stream is not whole. */
    Optional<Buffer> lastEvent(CallerError refusal);
}
