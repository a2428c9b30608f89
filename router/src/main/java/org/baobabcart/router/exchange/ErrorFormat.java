package org.baobabcart.router.exchange;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/** Defines how one interface reports errors to its callers. Thread-safe and stateless. */
public interface ErrorFormat {
    /** Returns the prefix of the names of this interface's metrics. */
    String metricPrefix();

    /** Returns the approximate retry time for temporary errors that do not state one. */
    Duration defaultRetryAfter();

    /** Returns the headers of an error response. */
    Map<String, String> headers(String requestId, CallerError error);

    /** Returns the HTTP status of an error response. */
    default int httpStatus(CallerError error) {
        return error.code().httpStatus();
    }

    /** Returns the final event of a failed stream; empty if the error is signalled only by closing the connection. */
    Optional<Buffer> finalEvent(CallerError error);
}
