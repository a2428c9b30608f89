package org.baobabcart.router.upstream;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.util.function.Predicate;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.router.transport.Connections;

/**
 * The response to one attempt, whose body has not been read yet. Confined to the event loop of the attempt.
 *
 * <p>The body ends in exactly one of three ways: complete, failed, or cancelled by the router.
 */
public final class UpstreamAnswer {
    private final String upstream;
    private final HttpClientRequest request;
    private final HttpClientResponse response;
    private final ProgressTimer progress;
    private final UpstreamRequest.Progress limits;
    private final Promise<Void> end = Promise.promise();

    private Runnable firstPart = () -> {};
    private boolean bodyBegun;

    private UpstreamAnswer(
            String upstream,
            HttpClientRequest request,
            HttpClientResponse response,
            ProgressTimer progress,
            UpstreamRequest.Progress limits) {
        this.upstream = upstream;
        this.request = request;
        this.response = response;
        this.progress = progress;
        this.limits = limits;
    }

    static UpstreamAnswer create(
            String upstream,
            HttpClientRequest request,
            HttpClientResponse response,
            ProgressTimer progress,
            UpstreamRequest.Progress limits) {
        UpstreamAnswer answer = new UpstreamAnswer(upstream, request, response, progress, limits);
        response.pause();
        response.exceptionHandler(cause -> answer.fail(AttemptException.of(FailureKind.BROKEN, upstream, cause)));
        return answer;
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

    /** Sets the action that runs when the first chunk of the body arrives. */
    public void onFirstPart(Runnable action) {
        firstPart = action;
    }

    /**
     * Reads the body chunk by chunk; the result completes after the last chunk, or fails. Each chunk counts as
     * progress.
     */
    public Future<Void> forEachPart(Handler<Buffer> part) {
        return forEachStep(buffer -> {
            part.handle(buffer);
            return true;
        });
    }

    /**
     * Reads the body like {@link #forEachChunk}, but counts a chunk as progress only if the handler says so. Bytes that
     * never form an event thus do not postpone the timeout of a stalled response.
     *
     * @param part handles a chunk and returns whether it made progress
     */
    public Future<Void> forEachStep(Predicate<Buffer> part) {
        response.handler(buffer -> {
            if (!end.future().isComplete() && part.test(buffer) && !end.future().isComplete()) {
                markPart();
            }
        });
        response.endHandler(ignored -> {
            progress.end();
            end.tryComplete();
        });
        response.resume();
        return end.future();
    }

    /** Reads the whole body; fails if it exceeds the limit. */
    public Future<Buffer> collect(int limitBytes) {
        Buffer whole = Buffer.buffer();
        return forEachPart(part -> {
                    if (whole.length() + part.length() > limitBytes) {
                        fail(AttemptException.of(FailureKind.INCOMPLETE, upstream, "answer larger than the limit"));
                    } else {
                        whole.appendBuffer(part);
                    }
                })
                .map(ignored -> whole);
    }

    /** Stops reading until {@link #resume}. The pause does not count towards the upstream's timeouts. */
    public void pause() {
        progress.suspend();
        response.pause();
    }

    /** Resumes reading. */
    public void resume() {
        progress.resume();
        response.resume();
    }

    /** Closes the connection, which makes the upstream stop working on the request. */
    public void cancel() {
        fail(AttemptException.of(FailureKind.BROKEN, upstream, "cancelled"));
    }

    /** Closes the connection and fails the body, unless it has ended before. */
    public void fail(AttemptException failure) {
        if (end.tryFail(failure)) {
            progress.end();
            Connections.abort(request.connection());
        }
    }

    private void markPart() {
        progress.progress();
        if (bodyBegun) {
            return;
        }
        firstPart.run();
        bodyBegun = true;
        progress.start(limits.betweenBytes());
    }
}
