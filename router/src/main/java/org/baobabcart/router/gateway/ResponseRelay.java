package org.baobabcart.router.gateway;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.router.exchange.CallerExchange;
import org.baobabcart.router.upstream.AttemptException;
import org.baobabcart.router.upstream.UpstreamResponse;

/**
 * Relays a response that is not an event stream. Confined to the event loop of the caller's connection.
 *
 * <p>A response is buffered up to a size limit, so that one that breaks off can still be replaced by another attempt. A
 * larger successful response is streamed to the caller; a larger error response fails the attempt.
 */
final class ResponseRelay {
    private static final int MIN_ERROR_STATUS = 400;

    private final GatewayRuntime runtime;
    private final CallerExchange exchange;
    private final UpstreamResponse response;
    private final MultiMap headers;
    private final Buffer buffered = Buffer.buffer();
    private boolean streaming;

    private ResponseRelay(
            GatewayRuntime runtime, CallerExchange exchange, UpstreamResponse response, MultiMap headers) {
        this.runtime = runtime;
        this.exchange = exchange;
        this.response = response;
        this.headers = headers;
    }

    static ResponseRelay create(
            GatewayRuntime runtime, CallerExchange exchange, UpstreamResponse response, MultiMap headers) {
        return new ResponseRelay(runtime, exchange, response, headers);
    }

    /** Completes with the whole body, or with an empty value if the body was streamed to the caller. */
    Future<Optional<Buffer>> relay() {
        return response.forEachChunk(this::read).map(ignored -> {
            exchange.describeAnswer(response.describe());
            if (streaming) {
                exchange.end();
                return Optional.empty();
            }
            return Optional.of(buffered);
        });
    }

    private void read(Buffer chunk) {
        if (streaming) {
            write(chunk);
            return;
        }
        buffered.appendBuffer(chunk);
        boolean isLarge = buffered.length() > runtime.settings().bufferedResponseBytes();
        if (isLarge && response.status() >= MIN_ERROR_STATUS) {
            response.fail(AttemptException.of(
                    FailureKind.INCOMPLETE, response.upstream(), "the error response is too large"));
            return;
        }
        if (isLarge) {
            streaming = true;
            exchange.beginChunked(response.status(), headers);
            write(buffered);
        }
    }

    private void write(Buffer chunk) {
        exchange.write(chunk);
        exchange.applyBackpressure(response);
    }
}
