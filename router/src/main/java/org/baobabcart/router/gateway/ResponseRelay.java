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
 * Reads an answer that is no stream of events. Confined to the event loop of the caller's connection.
 *
 * <p>A small answer is read whole first, so that a broken one can still be replaced; a larger one is passed on as it comes, unless it
 * is an error, of which no more than that is read.
 */
final class ResponseRelay {
    private static final int FIRST_ERROR_STATUS = 400;

    private final GatewayRuntime runtime;
    private final CallerExchange exchange;
    private final UpstreamResponse answer;
    private final MultiMap headers;
    private final Buffer collected = Buffer.buffer();
    private boolean passing;

    private ResponseRelay(GatewayRuntime runtime, CallerExchange exchange, UpstreamResponse answer, MultiMap headers) {
        this.runtime = runtime;
        this.exchange = exchange;
        this.answer = answer;
        this.headers = headers;
    }

    static ResponseRelay create(
            GatewayRuntime runtime, CallerExchange exchange, UpstreamResponse answer, MultiMap headers) {
        return new ResponseRelay(runtime, exchange, answer, headers);
    }

    /** The whole body, or nothing where it was passed on while it came. */
    Future<Optional<Buffer>> run() {
        return answer.forEachChunk(this::read).map(ignored -> {
            if (passing) {
                exchange.end();
                return Optional.empty();
            }
            return Optional.of(collected);
        });
    }

    private void read(Buffer part) {
        if (passing) {
            write(part);
            return;
        }
        collected.appendBuffer(part);
        boolean large = collected.length() > runtime.settings().collectedAnswerBytes();
        if (large && answer.status() >= FIRST_ERROR_STATUS) {
            answer.fail(AttemptException.of(FailureKind.INCOMPLETE, answer.upstream(), "an error without end"));
            return;
        }
        if (large) {
            passing = true;
            exchange.beginChunked(answer.status(), headers);
            write(collected);
        }
    }

    private void write(Buffer part) {
        exchange.write(part);
        exchange.slowDown(answer);
    }
}
