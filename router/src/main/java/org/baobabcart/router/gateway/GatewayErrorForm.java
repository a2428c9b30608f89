package org.baobabcart.router.gateway;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.baobabcart.router.exchange.ErrorForm;
import org.baobabcart.router.exchange.Refusal;

/** Errors of the opaque request path, spelled by the codec; an answer that has begun ends with its connection. Immutable. */
final class GatewayErrorForm implements ErrorForm {
    /** A few dispatch intervals. */
    private static final Duration USUAL_RETRY_AFTER = Duration.ofMillis(300);

    private final GatewayCodec codec;

    private GatewayErrorForm(GatewayCodec codec) {
        this.codec = codec;
    }

    static GatewayErrorForm of(GatewayCodec codec) {
        return new GatewayErrorForm(codec);
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
    public Map<String, String> headers(String requestId, Refusal refusal) {
        long millis = refusal.retryAfterMillis().orElse(USUAL_RETRY_AFTER.toMillis());
        return codec.refusalHeaders(requestId, Duration.ofMillis(millis));
    }

    @Override
    public Optional<Buffer> lastEvent(Refusal refusal) {
        return Optional.empty();
    }
}
