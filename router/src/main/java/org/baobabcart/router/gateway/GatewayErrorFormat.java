package org.baobabcart.router.gateway;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.baobabcart.router.exchange.CallerError;
import org.baobabcart.router.exchange.ErrorFormat;

/** Errors of the opaque request path, spelled by the codec; an answer that has begun ends with its connection. Immutable. */
final class GatewayErrorFormat implements ErrorFormat {
    /** A few dispatch intervals. */
    private static final Duration USUAL_RETRY_AFTER = Duration.ofMillis(300);

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
    public Duration usualRetryAfter() {
        return USUAL_RETRY_AFTER;
    }

    @Override
    public Map<String, String> headers(String requestId, CallerError refusal) {
        long millis = refusal.retryAfterMillis().orElse(USUAL_RETRY_AFTER.toMillis());
        return codec.refusalHeaders(requestId, Duration.ofMillis(millis));
    }

    @Override
    public Optional<Buffer> lastEvent(CallerError refusal) {
        return Optional.empty();
    }
}
