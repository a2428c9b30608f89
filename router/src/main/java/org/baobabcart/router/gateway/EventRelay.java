package org.baobabcart.router.gateway;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.OptionalLong;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.router.exchange.CallerExchange;
import org.baobabcart.router.upstream.AttemptException;
import org.baobabcart.router.upstream.ServerSentEventReader;
import org.baobabcart.router.upstream.UpstreamResponse;

/**
 * Passes the events of a stream on, whole events only, over one attempt or several. Confined to the event loop of the caller's
 * connection.
 *
 * <p>The head goes out with the first event, so that an attempt without one can be replaced. A stream that goes on at another
 * upstream keeps the head of the first; events that the caller has are not passed on again.
 */
final class EventRelay {
    /** Far above the text of a few tokens. */
    private static final int MOST_EVENT_BYTES = 256 * 1024;

    private final CallerExchange exchange;
    private final OptionalLong askedAfter;
    private OptionalLong lastPassed = OptionalLong.empty();

    private EventRelay(CallerExchange exchange, OptionalLong askedAfter) {
        this.exchange = exchange;
        this.askedAfter = askedAfter;
    }

    /**
     * A relay to a caller.
     *
     * @param askedAfter the last event that the caller has from an earlier request of its own
     */
    static EventRelay create(CallerExchange exchange, OptionalLong askedAfter) {
        return new EventRelay(exchange, askedAfter);
    }

    /** The event after which the next attempt has to begin; empty for the beginning of the stream. */
    OptionalLong resumeAfter() {
        return lastPassed.isPresent() ? lastPassed : askedAfter;
    }

    /** Passes on the events of an attempt; completes when the stream is whole, and fails where it breaks off. */
    Future<Void> run(UpstreamResponse answer, MultiMap headers) {
        ServerSentEventReader reader = ServerSentEventReader.create(event -> pass(answer, headers, event));
        return answer.forEachChunkWithProgress(part -> read(answer, reader, part))
                .compose(ignored -> {
                    if (reader.pendingBytes() > 0) {
                        return Future.failedFuture(AttemptException.of(
                                FailureKind.INCOMPLETE, answer.upstream(), "the last event is not whole"));
                    }
                    if (!exchange.started()) {
                        exchange.beginChunked(answer.status(), headers);
                    }
                    exchange.end();
                    return Future.succeededFuture();
                });
    }

    /** Reads a part; tells whether it brought the stream forward, as only events that the caller does not have yet do. */
    private boolean read(UpstreamResponse answer, ServerSentEventReader reader, Buffer part) {
        OptionalLong before = lastPassed;
        reader.read(part);
        if (reader.pendingBytes() > MOST_EVENT_BYTES) {
            answer.fail(AttemptException.of(FailureKind.INCOMPLETE, answer.upstream(), "an event without end"));
        }
        return !lastPassed.equals(before);
    }

    private void pass(UpstreamResponse answer, MultiMap headers, Buffer event) {
        OptionalLong id = ServerSentEventReader.id(event);
        OptionalLong before = resumeAfter();
        if (id.isPresent() && before.isPresent() && id.getAsLong() <= before.getAsLong()) {
            return;
        }
        if (!exchange.started()) {
            exchange.beginChunked(answer.status(), headers);
        }
        if (id.isPresent()) {
            lastPassed = id;
        }
        exchange.write(event);
        exchange.slowDown(answer);
    }
}
