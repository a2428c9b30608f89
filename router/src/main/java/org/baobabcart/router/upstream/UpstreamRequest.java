package org.baobabcart.router.upstream;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.baobabcart.policy.retry.FailureKind;

/**
 * The HTTP request of one attempt. Immutable by contract: the body must not be modified after construction.
 *
 * @param attemptId the id that the response must echo
 * @param echoRequired whether a response without the id is rejected
 * @param repeatable whether the request may be sent more than once; if not, it is sent on a new connection, so that
 *     it cannot fail because a pooled connection was closed
 * @param method the HTTP method
 * @param path the path and query
 * @param headers the headers
 * @param body the body
 * @param timeouts the progress timeouts
 * @param replaceable whether another attempt could replace this one now; an attempt that cannot be replaced is not
 *     ended for silence
 */
public record UpstreamRequest(
        String attemptId,
        boolean echoRequired,
        boolean repeatable,
        HttpMethod method,
        String path,
        Map<String, String> headers,
        Buffer body,
        ProgressTimeouts timeouts,
        BooleanSupplier replaceable) {
    /** Copies the headers. */
    public UpstreamRequest {
        headers = Map.copyOf(headers);
    }

    /**
     * Progress timeouts.
     *
     * @param firstByte the time until the head of the response
     * @param betweenBytes the time between two chunks of the response
     * @param firstByteFailure how an attempt failed that had no first byte by then
     */
    public record ProgressTimeouts(Duration firstByte, Duration betweenBytes, FailureKind firstByteFailure) {
        /** Creates timeouts after which an attempt is considered lost. */
        public ProgressTimeouts(Duration firstByte, Duration betweenBytes) {
            this(firstByte, betweenBytes, FailureKind.SILENT);
        }

        /** Returns these timeouts, with a shorter time after which another upstream is expected to be faster. */
        public ProgressTimeouts replacedAfter(Duration shorter) {
            return new ProgressTimeouts(shorter, betweenBytes, FailureKind.SLOW);
        }
    }
}
