package org.baobabcart.router.upstream;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import java.util.Optional;
import java.util.function.Predicate;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.transport.BodyEnd;
import org.baobabcart.router.transport.BodyFraming;
import org.baobabcart.router.transport.ConnectionUse;
import org.baobabcart.router.transport.Connections;

/**
 * The response to one attempt, whose body has not been read yet. Confined to the event loop of the attempt.
 *
 * <p>The body ends in exactly one of three ways: complete, failed, or cancelled by the router.
 */
public final class UpstreamResponse {
    private final String upstream;
    private final HttpClientRequest request;
    private final HttpClientResponse response;
    private final ProgressTimer progressTimer;
    private final UpstreamRequest.ProgressTimeouts timeouts;
    private final BodyFraming framing;
    private final Promise<Void> end = Promise.promise();

    private Runnable firstChunkAction = () -> {};
    private Optional<BodyEnd> bodyEnd = Optional.empty();
    private EventFields head = EventFields.none();
    private boolean firstChunkReceived;

    private UpstreamResponse(
            String upstream,
            HttpClientRequest request,
            HttpClientResponse response,
            ProgressTimer progressTimer,
            UpstreamRequest.ProgressTimeouts timeouts) {
        this.upstream = upstream;
        this.request = request;
        this.response = response;
        this.progressTimer = progressTimer;
        this.timeouts = timeouts;
        this.framing = BodyFraming.of(request.getMethod(), response.statusCode(), response.headers());
    }

    static UpstreamResponse create(
            String upstream,
            HttpClientRequest request,
            HttpClientResponse response,
            ProgressTimer progressTimer,
            UpstreamRequest.ProgressTimeouts timeouts) {
        UpstreamResponse upstreamResponse = new UpstreamResponse(upstream, request, response, progressTimer, timeouts);
        response.pause();
        response.exceptionHandler(
                cause -> upstreamResponse.fail(AttemptException.of(FailureKind.BROKEN, upstream, cause)));
        return upstreamResponse;
    }

    /** Returns the name of the upstream. */
    public String upstream() {
        return upstream;
    }

    /** Returns the HTTP status. */
    public int status() {
        return response.statusCode();
    }

    /** Returns the HTTP headers. */
    public MultiMap headers() {
        return response.headers();
    }

    /** Returns how the end of the body is marked. */
    public BodyFraming framing() {
        return framing;
    }

    /** Returns how the body ended; empty until its end was reached. */
    public Optional<BodyEnd> bodyEnd() {
        return bodyEnd;
    }

    /** Records the connection and the head of the response as it was received, for {@link #describe}. */
    void describeHead(ConnectionUse connection, Optional<String> proof) {
        EventFields fields = EventFields.of(EventField.CONNECTION, connection.connection())
                .with(EventField.UPSTREAM_STATUS, response.statusCode());
        String length = response.getHeader(HttpHeaders.CONTENT_LENGTH);
        if (length != null) {
            fields = fields.with(EventField.UPSTREAM_LENGTH, length);
        }
        head = proof.isPresent() ? fields.with(EventField.PROOF, proof.get()) : fields;
    }

    /** Returns the connection, the head as it was received, how the body is framed and, once its end was reached, how it ended. */
    public EventFields describe() {
        EventFields fields = head.with(EventField.FRAMING, framing.name());
        return bodyEnd.map(reached -> fields.with(EventField.BODY_END, reached)).orElse(fields);
    }

    /** Returns a future that completes when the body is complete, and fails when it has failed or was cancelled. */
    Future<Void> ended() {
        return end.future();
    }

    /** Sets the action that runs when the first chunk of the body arrives. */
    public void onFirstChunk(Runnable action) {
        firstChunkAction = action;
    }

    /**
     * Reads the body chunk by chunk; the result completes after the last chunk, or fails. Each chunk counts as
     * progress.
     */
    public Future<Void> forEachChunk(Handler<Buffer> handler) {
        return forEachChunkWithProgress(buffer -> {
            handler.handle(buffer);
            return true;
        });
    }

    /**
     * Reads the body like {@link #forEachChunk}, but counts a chunk as progress only if the handler returns true. Bytes
     * that never form an event thus do not postpone the timeout of a stalled response.
     *
     * @param handler handles a chunk and returns whether it made progress
     */
    public Future<Void> forEachChunkWithProgress(Predicate<Buffer> handler) {
        response.handler(buffer -> {
            if (!end.future().isComplete()
                    && handler.test(buffer)
                    && !end.future().isComplete()) {
                recordProgress();
            }
        });
        response.endHandler(ignored -> decideEnd());
        response.resume();
        return end.future();
    }

    /** Decides whether the body is complete. The HTTP client also reports its end if this process closed the connection. */
    private void decideEnd() {
        if (end.future().isComplete()) {
            return;
        }
        BodyEnd reached = framing.end(request.connection());
        bodyEnd = Optional.of(reached);
        if (reached.isComplete()) {
            progressTimer.end();
            end.tryComplete();
        } else {
            fail(AttemptException.of(FailureKind.BROKEN, upstream, reached.description()));
        }
    }

    /** Reads the whole body; fails if it exceeds the limit. */
    public Future<Buffer> collect(int limitBytes) {
        Buffer body = Buffer.buffer();
        return forEachChunk(chunk -> {
                    if (body.length() + chunk.length() > limitBytes) {
                        fail(AttemptException.of(FailureKind.INCOMPLETE, upstream, "response exceeds the size limit"));
                    } else {
                        body.appendBuffer(chunk);
                    }
                })
                .map(ignored -> body);
    }

    /** Stops reading until {@link #resume}. The pause does not count towards the upstream's timeouts. */
    public void pause() {
        progressTimer.suspend();
        response.pause();
    }

    /** Resumes reading. */
    public void resume() {
        progressTimer.resume();
        response.resume();
    }

    /** Closes the connection, which makes the upstream stop working on the request. */
    public void cancel() {
        fail(AttemptException.of(FailureKind.BROKEN, upstream, "cancelled"));
    }

    /** Closes the connection and fails the body, unless it has ended before. */
    public void fail(AttemptException failure) {
        if (end.tryFail(failure)) {
            progressTimer.end();
            Connections.abort(request.connection());
        }
    }

    private void recordProgress() {
        progressTimer.progress();
        if (firstChunkReceived) {
            return;
        }
        firstChunkAction.run();
        firstChunkReceived = true;
        progressTimer.start(timeouts.betweenBytes());
    }
}
