package org.baobabcart.router.gateway;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.baobabcart.model.result.Ran;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.exchange.CallerError;
import org.baobabcart.router.exchange.ErrorFormat;

/**
 * Error format of the opaque request path, with headers from the codec. An error after the start of a response closes the
 * connection. Immutable.
 */
final class GatewayErrorFormat implements ErrorFormat {
    /** A few dispatch intervals, to let the queue move on. */
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(300);

    private final GatewayCodec codec;

    private GatewayErrorFormat(GatewayCodec codec) {
        this.codec = codec;
    }

    static GatewayErrorFormat of(GatewayCodec codec) {
        return new GatewayErrorFormat(codec);
    }

    @Override
    public String metricPrefix() {
        return "gateway";
    }

    @Override
    public Duration defaultRetryAfter() {
        return DEFAULT_RETRY_AFTER;
    }

    @Override
    public Map<String, String> headers(String requestId, CallerError error) {
        long millis = error.retryAfterMillis().orElse(DEFAULT_RETRY_AFTER.toMillis());
        return codec.errorHeaders(requestId, Duration.ofMillis(millis));
    }

    /**
     * Returns the status of the code, except for a quarantined request, which is proper: its status tells whether it may have run, as
     * callers rely on.
     */
    @Override
    public int httpStatus(CallerError error) {
        if (error.code() != ResultCode.REQUEST_QUARANTINED) {
            return error.code().httpStatus();
        }
        return error.ran() == Ran.NO ? ResultCode.NO_UPSTREAM.httpStatus() : ResultCode.UPSTREAM_FAILED.httpStatus();
    }

    @Override
    public Optional<Buffer> finalEvent(CallerError error) {
        return Optional.empty();
    }
}
