package org.baobabcart.router.gateway;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import org.baobabcart.model.request.EventId;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.policy.stream.EventAction;
import org.baobabcart.policy.stream.StreamPosition;
import org.baobabcart.router.exchange.CallerExchange;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.upstream.AttemptException;
import org.baobabcart.router.upstream.ServerSentEventReader;
import org.baobabcart.router.upstream.UpstreamResponse;

/**
 * Relays the events of a stream to the caller, complete events only, across one or more attempts. Confined to the event loop
 * of the caller's connection.
 *
 * <p>The response head is sent with the first event, so that an attempt that fails before it can be replaced. A stream that is
 * resumed at another upstream keeps the first response head; events that the caller already has are dropped. A stream that cannot be
 * continued where the caller has received it to is broken off.
 */
final class EventRelay {
    /** Far larger than an event with the text of a few tokens. */
    private static final int MAX_EVENT_BYTES = 256 * 1024;

    private final CallerExchange exchange;
    private final StreamPosition position;
    private int relayedEvents;
    /** Whether the current attempt has sent an event, also one that the caller has already. */
    private boolean eventReceived;
    /** Whether the current attempt has sent an event that cannot be joined to those that the caller has. */
    private boolean brokenOff;

    private EventRelay(CallerExchange exchange, Optional<EventId> requestedAfter) {
        this.exchange = exchange;
        this.position = StreamPosition.create(requestedAfter);
    }

    /**
     * Creates a relay to a caller.
     *
     * @param requestedAfter the id of the last event that the caller received on an earlier request; empty if it does not resume
     */
    static EventRelay create(CallerExchange exchange, Optional<EventId> requestedAfter) {
        return new EventRelay(exchange, requestedAfter);
    }

    /** Returns the id of the event after which the next attempt must resume; empty for the start of the stream. */
    Optional<EventId> resumeAfter() {
        return position.resumeAfter();
    }

    /** Returns whether another attempt can continue the stream. */
    boolean isResumable() {
        return position.isResumable();
    }

    /** Relays the events of an attempt; completes at the end of the stream and fails if the stream breaks off. */
    Future<Void> relayAll(UpstreamResponse response, MultiMap headers) {
        eventReceived = false;
        brokenOff = false;
        position.attemptBegan();
        boolean resumes = resumeAfter().isPresent();
        ServerSentEventReader reader = ServerSentEventReader.create(event -> relay(response, headers, event));
        return response.forEachChunkWithProgress(chunk -> read(response, reader, chunk))
                .compose(ignored -> {
                    if (reader.pendingBytes() > 0) {
                        return Future.failedFuture(AttemptException.of(
                                FailureKind.INCOMPLETE, response.upstream(), "the last event is incomplete"));
                    }
                    if (!position.hasCaughtUp()) {
                        return Future.failedFuture(AttemptException.of(
                                FailureKind.INCOMPLETE, response.upstream(), "the stream ends before its last event"));
                    }
                    if (!eventReceived && !mayBeEmpty(response, resumes)) {
                        return Future.failedFuture(AttemptException.of(
                                FailureKind.INCOMPLETE, response.upstream(), "the stream has no events"));
                    }
                    if (!exchange.responseStarted()) {
                        exchange.beginChunked(response.status(), headers);
                    }
                    exchange.describeAnswer(describe(response));
                    exchange.end();
                    return Future.succeededFuture();
                });
    }

    /** Returns whether a stream can be complete without an event: if it has no body, or nothing is left to resume. */
    private static boolean mayBeEmpty(UpstreamResponse response, boolean resumes) {
        return switch (response.framing()) {
            case NONE -> true;
            case LENGTH, CHUNKED -> resumes;
            case UNTIL_CLOSE, UNSUPPORTED -> false;
        };
    }

    private EventFields describe(UpstreamResponse response) {
        EventFields fields = response.describe().with(EventField.EVENTS, relayedEvents);
        return position.lastRelayed()
                .map(id -> fields.with(EventField.LAST_EVENT, id.toString()))
                .orElse(fields);
    }

    /** Reads a chunk; returns whether it made progress, that is, contained an event that was relayed. */
    private boolean read(UpstreamResponse response, ServerSentEventReader reader, Buffer chunk) {
        int before = relayedEvents;
        reader.read(chunk);
        if (reader.pendingBytes() > MAX_EVENT_BYTES) {
            response.fail(AttemptException.of(FailureKind.INCOMPLETE, response.upstream(), "an event is too large"));
        }
        return relayedEvents > before;
    }

    private void relay(UpstreamResponse response, MultiMap headers, Buffer event) {
        if (brokenOff) {
            return;
        }
        if (ServerSentEventReader.hasDataOrId(event)) {
            eventReceived = true;
            EventAction action = position.advance(ServerSentEventReader.id(event));
            if (action == EventAction.BREAK_OFF) {
                brokenOff = true;
                response.fail(AttemptException.of(
                        FailureKind.INCOMPLETE,
                        response.upstream(),
                        "the position of an event in the stream is unknown"));
            }
            if (action != EventAction.RELAY) {
                return;
            }
            relayedEvents++;
        }
        if (!exchange.responseStarted()) {
            exchange.beginChunked(response.status(), headers);
        }
        exchange.write(event);
        exchange.applyBackpressure(response);
    }
}
