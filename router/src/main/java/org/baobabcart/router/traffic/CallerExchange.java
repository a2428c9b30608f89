package org.baobabcart.router.traffic;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.baobabcart.model.request.Headers;
import org.baobabcart.model.request.RequestIds;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.router.exchange.Refusal;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.upstream.AttemptException;
import org.baobabcart.router.upstream.Connections;

/**
 * One request of a caller and its answer. Confined to the event loop of the caller's connection.
 *
 * <p>The answer ends exactly once; ending it again does nothing.
 */
final class CallerExchange {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration LINGER = Duration.ofSeconds(1);
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String JSON = "application/json";

    private final TrafficRuntime runtime;
    private final HttpServerRequest request;
    private final String requestId = RequestIds.next();
    private final Promise<AttemptException> abandoned = Promise.promise();
    private long deadlineTimer = -1;
    private final long begunNanos = System.nanoTime();
    private boolean closeAfterwards;
    private boolean ended;
    private boolean gone;
    private boolean mayHaveRun;

    private CallerExchange(TrafficRuntime runtime, HttpServerRequest request) {
        this.runtime = runtime;
        this.request = request;
    }

    static CallerExchange create(TrafficRuntime runtime, HttpServerRequest request) {
        CallerExchange exchange = new CallerExchange(runtime, request);
        runtime.drain().requestBegan();
        request.response().closeHandler(ignored -> exchange.callerGone());
        request.response().exceptionHandler(ignored -> exchange.callerGone());
        request.response().putHeader(Headers.REQUEST_ID, exchange.requestId);
        runtime.parts().metrics().meter("caller.requests").mark();
        exchange.record(EventType.REQUEST_RECEIVED, request.method() + " " + request.path());
        return exchange;
    }

    String requestId() {
        return requestId;
    }

    HttpServerRequest request() {
        return request;
    }

    /** Whether a part of the answer has been written. */
    boolean started() {
        return request.response().headWritten();
    }

    /** Whether the caller has its answer, or is gone; from then on nothing may be sent for it. */
    boolean isEnded() {
        return ended;
    }

    boolean isGone() {
        return gone;
    }

    /** Whether bytes of the request may have reached an upstream. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** States that bytes of the request are about to be sent to an upstream. */
    void markSent() {
        mayHaveRun = true;
    }

    /** Takes back {@link #markSent} where an attempt surely did not run. */
    void restoreSent(boolean before) {
        mayHaveRun = before;
    }

    /** Completes when the work is of no use any more: the caller is gone or the deadline has passed. */
    Future<AttemptException> abandoned() {
        return abandoned.future();
    }

    /** Refuses the request at its deadline unless it has ended before. */
    void startDeadline(long remainingNanos) {
        long millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanos));
        deadlineTimer = runtime.vertx().setTimer(millis, ignored -> {
            AttemptException failure = AttemptException.of(FailureKind.DEADLINE, "", "deadline of the request");
            abandoned.tryComplete(failure);
            ResultCode code = mayHaveRun ? ResultCode.UPSTREAM_TIMEOUT : ResultCode.DEADLINE_UNREACHABLE;
            refuse(BaobabcartException.of(code).withCause(failure));
        });
    }

    void record(EventType type, String detail) {
        runtime.parts().timeline().record(type, requestId, detail);
    }

    /** Begins a streamed answer. */
    void beginStream(Map<String, String> headers) {
        HttpServerResponse response = request.response();
        headers.forEach(response::putHeader);
        response.putHeader("Content-Type", EVENT_STREAM);
        response.putHeader("Cache-Control", "no-cache");
        measureFirstByte();
        closeConnectionIfStopping();
        response.setChunked(true);
    }

    /** Writes a part of a streamed answer. */
    void write(Buffer part) {
        if (!ended && !gone) {
            request.response().write(part);
        }
    }

    /** Ends a streamed answer. */
    void endStream(Buffer last) {
        finish(EventType.REQUEST_FINISHED, "stream", () -> request.response().end(last));
    }

    /** Sends a whole answer. */
    void answer(int status, Map<String, String> headers, Buffer body) {
        HttpServerResponse response = request.response();
        if (ended || gone) {
            return;
        }
        headers.forEach(response::putHeader);
        closeConnectionIfStopping();
        response.setStatusCode(status);
        measureFirstByte();
        finish(EventType.REQUEST_FINISHED, "status " + status, () -> response.end(body));
    }

    /** Sends an error, as a whole answer or as the last event of a stream that has begun. */
    void refuse(Throwable failure) {
        if (ended) {
            return;
        }
        Refusal refusal = Refusal.of(failure, mayHaveRun);
        runtime.parts()
                .metrics()
                .meter("caller.refusals." + refusal.code().name())
                .mark();
        if (refusal.code() == ResultCode.INTERNAL) {
            LOGGER.atWarning().withCause(failure).log(
                    "request=%s code=%d", requestId, refusal.code().number());
        }
        if (started()) {
            Buffer event = Buffer.buffer("event: error\ndata: " + refusal.toJson() + "\n\n");
            finish(
                    EventType.REQUEST_FAILED,
                    refusal.code().name(),
                    () -> request.response().end(event));
            return;
        }
        EventType type = mayHaveRun ? EventType.REQUEST_FAILED : EventType.REQUEST_REFUSED;
        finish(type, refusal.code().name(), () -> send(refusal));
    }

    /** Refuses a request whose body was not read, and closes its connection after that. */
    void refuseUnread(Throwable failure) {
        if (!request.isEnded() && !started()) {
            closeConnection();
        }
        refuse(failure);
    }

    /** Closes the caller's connection. */
    void abort() {
        Connections.abort(request.connection());
    }

    private Future<Void> send(Refusal refusal) {
        HttpServerResponse response = request.response();
        response.headers().remove("Content-Type");
        response.setStatusCode(refusal.code().httpStatus());
        response.putHeader("Content-Type", JSON);
        refusal.retryAfterSeconds().ifPresent(seconds -> response.putHeader("Retry-After", Long.toString(seconds)));
        closeConnectionIfStopping();
        return response.end(refusal.toJson());
    }

    private void finish(EventType type, String detail, Supplier<Future<Void>> ending) {
        if (ended) {
            return;
        }
        ended = true;
        runtime.vertx().cancelTimer(deadlineTimer);
        runtime.drain().requestEnded();
        record(type, detail);
        if (gone) {
            return;
        }
        long stallMillis = runtime.settings().timeouts().callerStall().toMillis();
        long timer = runtime.vertx().setTimer(stallMillis, ignored -> abort());
        ending.get().onComplete(ignored -> {
            runtime.vertx().cancelTimer(timer);
            if (closeAfterwards) {
                closeLingering();
            }
        });
    }

    private void measureFirstByte() {
        runtime.parts()
                .metrics()
                .timer("caller.first-byte")
                .update(System.nanoTime() - begunNanos, TimeUnit.NANOSECONDS);
    }

    private void closeConnectionIfStopping() {
        if (runtime.drain().isDraining() || runtime.parts().views().current().stopping()) {
            closeConnection();
        }
    }

    /** Reads on for a while before it closes, since a close with unread bytes could destroy the answer on its way. */
    private void closeLingering() {
        if (request.isEnded()) {
            request.connection().close();
            return;
        }
        request.handler(ignored -> {});
        request.endHandler(ignored -> request.connection().close());
        runtime.vertx().setTimer(LINGER.toMillis(), ignored -> abort());
    }

    private void closeConnection() {
        closeAfterwards = true;
        request.response().putHeader("Connection", "close");
    }

    private void callerGone() {
        if (gone || ended) {
            return;
        }
        gone = true;
        record(EventType.REQUEST_CANCELLED, "caller gone");
        abandoned.tryComplete(AttemptException.of(FailureKind.BROKEN, "", "caller gone"));
        finish(EventType.REQUEST_FAILED, ResultCode.CALLER_GONE.name(), Future::succeededFuture);
    }
}
