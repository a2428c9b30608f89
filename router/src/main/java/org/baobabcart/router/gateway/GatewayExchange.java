package org.baobabcart.router.gateway;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.Ran;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.router.exchange.Refusal;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.upstream.AttemptException;
import org.baobabcart.router.upstream.Connections;

/**
 * One opaque request of a caller and its answer. Confined to the event loop of the caller's connection.
 *
 * <p>The answer ends exactly once; ending it again does nothing. An answer that cannot be completed ends with the
 * connection, never with an end that looks whole.
 */
final class GatewayExchange {
    private static final Duration LINGER = Duration.ofSeconds(1);
    /** A time to come back for refusals that know no better one: a few dispatch intervals. */
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(300);

    private final GatewayRuntime runtime;
    private final HttpServerRequest request;
    private final BooleanSupplier closing;
    private Runnable ending;
    private final Promise<AttemptException> abandoned = Promise.promise();
    private final long begunNanos = System.nanoTime();
    private String requestId = "";
    private long deadlineTimer = -1;
    private boolean ended;
    private boolean gone;
    private boolean closeAfterwards;

    private GatewayExchange(
            GatewayRuntime runtime, HttpServerRequest request, BooleanSupplier closing, Runnable ending) {
        this.runtime = runtime;
        this.request = request;
        this.closing = closing;
        this.ending = ending;
    }

    /**
     * An exchange that follows the caller's connection.
     *
     * @param closing whether the connection is to be closed after the answer
     * @param ending runs once when the answer has ended or the caller is gone
     */
    static GatewayExchange create(
            GatewayRuntime runtime, HttpServerRequest request, BooleanSupplier closing, Runnable ending) {
        GatewayExchange exchange = new GatewayExchange(runtime, request, closing, ending);
        request.response().closeHandler(ignored -> exchange.callerGone());
        request.response().exceptionHandler(ignored -> exchange.callerGone());
        return exchange;
    }

    /** Runs an action as well when the exchange ends. */
    void whenEnded(Runnable action) {
        Runnable before = ending;
        ending = () -> {
            before.run();
            action.run();
        };
    }

    void identify(String id) {
        requestId = id;
    }

    String requestId() {
        return requestId;
    }

    HttpServerRequest request() {
        return request;
    }

    long begunNanos() {
        return begunNanos;
    }

    boolean started() {
        return request.response().headWritten();
    }

    boolean isEnded() {
        return ended;
    }

    /** Completes when nobody waits for the answer any more. */
    Future<AttemptException> abandoned() {
        return abandoned.future();
    }

    /** Ends the exchange at its deadline unless it has ended before. */
    void startDeadline(long deadlineNanos, Supplier<BaobabcartException> refusal) {
        long millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()));
        deadlineTimer = runtime.vertx().setTimer(millis, ignored -> {
            BaobabcartException failure = refusal.get();
            abandoned.tryComplete(AttemptException.of(FailureKind.DEADLINE, "", "deadline of the request"));
            refuse(failure);
        });
    }

    void record(EventType type, String detail) {
        runtime.timeline().record(type, requestId, detail);
    }

    /** Sends a whole answer of an upstream. */
    void answer(int status, MultiMap headers, Buffer body) {
        if (ended) {
            return;
        }
        begin(status, headers);
        finish(
                EventType.REQUEST_FINISHED,
                "status " + status,
                () -> request.response().end(body));
    }

    /** Begins an answer of an upstream whose body follows in parts. */
    void begin(int status, MultiMap headers) {
        HttpServerResponse response = request.response();
        response.setStatusCode(status);
        response.headers().addAll(headers);
        closeIfStopping();
        runtime.metrics().timer("gateway.first-byte").update(System.nanoTime() - begunNanos, TimeUnit.NANOSECONDS);
    }

    /** Begins an answer of an upstream that is framed in chunks. */
    void beginChunked(int status, MultiMap headers) {
        begin(status, headers);
        request.response().setChunked(true);
    }

    /** Writes a part of the body; tells whether the caller reads fast enough. */
    boolean write(Buffer part) {
        if (ended) {
            return true;
        }
        request.response().write(part);
        return !request.response().writeQueueFull();
    }

    /** Runs an action once when the caller has read enough of what was written. */
    void whenWritable(Runnable action) {
        long stall = runtime.vertx()
                .setTimer(runtime.settings().callerStall().toMillis(), ignored -> breakOff("caller stopped reading"));
        request.response().drainHandler(ignored -> {
            runtime.vertx().cancelTimer(stall);
            action.run();
        });
    }

    /** Ends a body whose last part was written. */
    void end() {
        finish(EventType.REQUEST_FINISHED, "whole", () -> request.response().end());
    }

    /** Ends an answer that cannot be completed, by closing the connection. */
    void breakOff(String reason) {
        finish(EventType.REQUEST_FAILED, reason, () -> {
            Connections.abort(request.connection());
            return Future.succeededFuture();
        });
        abandoned.tryComplete(AttemptException.of(FailureKind.BROKEN, "", reason));
    }

    /** Sends a refusal or failure of the router's own, or breaks off an answer that has begun. */
    void refuse(BaobabcartException refusal) {
        if (ended) {
            return;
        }
        if (started()) {
            breakOff(refusal.getMessage());
            return;
        }
        runtime.metrics().meter("gateway.refusals." + refusal.code().name()).mark();
        finish(EventType.REQUEST_REFUSED, refusal.getMessage(), () -> send(refusal));
    }

    /** Refuses a request whose body was not read, and closes its connection after that. */
    void refuseUnread(BaobabcartException refusal) {
        if (!request.isEnded() && !started()) {
            closeAfterwards = true;
        }
        refuse(refusal);
    }

    private Future<Void> send(BaobabcartException refusal) {
        HttpServerResponse response = request.response();
        response.setStatusCode(refusal.code().httpStatus());
        Refusal written = Refusal.of(refusal, refusal.ran() != Ran.NO);
        Duration retryAfter = refusal.retryAfter().orElse(DEFAULT_RETRY_AFTER);
        runtime.codec().refusalHeaders(requestId, retryAfter).forEach(response::putHeader);
        closeIfStopping();
        return response.end(written.toJson());
    }

    private void finish(EventType type, String detail, Supplier<Future<Void>> action) {
        if (ended) {
            return;
        }
        ended = true;
        runtime.vertx().cancelTimer(deadlineTimer);
        record(type, detail);
        ending.run();
        if (gone) {
            return;
        }
        long stallMillis = runtime.settings().callerStall().toMillis();
        long timer = runtime.vertx().setTimer(stallMillis, ignored -> Connections.abort(request.connection()));
        action.get().onComplete(ignored -> {
            runtime.vertx().cancelTimer(timer);
            if (closeAfterwards) {
                closeLingering();
            }
        });
    }

    private void closeIfStopping() {
        if (closing.getAsBoolean()) {
            closeAfterwards = true;
        }
        if (closeAfterwards) {
            request.response().putHeader("Connection", "close");
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
        request.resume();
        runtime.vertx().setTimer(LINGER.toMillis(), ignored -> Connections.abort(request.connection()));
    }

    private void callerGone() {
        if (gone || ended) {
            return;
        }
        gone = true;
        abandoned.tryComplete(AttemptException.of(FailureKind.BROKEN, "", "caller gone"));
        finish(EventType.REQUEST_CANCELLED, ResultCode.CALLER_GONE.name(), Future::succeededFuture);
    }
}
