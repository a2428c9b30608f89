package org.baobabcart.router.exchange;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.transport.Connections;
import org.baobabcart.router.upstream.AttemptException;
import org.baobabcart.router.upstream.UpstreamResponse;

/**
 * One request of a caller and its answer, whatever the interface. Confined to the event loop of the caller's connection.
 *
 * <p>The answer ends exactly once; ending it again does nothing. An answer that cannot be completed ends as its
 * {@link ErrorFormat} says, never with an end that looks whole.
 */
public final class CallerExchange {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** How long bytes that a caller still sends are read before its connection is closed: a few round trips. */
    private static final Duration LINGER = Duration.ofSeconds(1);

    private final ExchangeDependencies parts;
    private final HttpServerRequest request;
    private final BooleanSupplier closing;
    private final Promise<AttemptException> abandoned = Promise.promise();
    private final long begunNanos = System.nanoTime();
    private Runnable ending;
    private String requestId = "";
    private long firstByteNanos;
    private long deadlineTimer = -1;
    private Optional<EventType> outcome = Optional.empty();
    private boolean ended;
    private boolean gone;
    private boolean closeAfterwards;
    private boolean mayHaveRun;

    private CallerExchange(
            ExchangeDependencies parts, HttpServerRequest request, BooleanSupplier closing, Runnable ending) {
        this.parts = parts;
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
    public static CallerExchange create(
            ExchangeDependencies parts, HttpServerRequest request, BooleanSupplier closing, Runnable ending) {
        CallerExchange exchange = new CallerExchange(parts, request, closing, ending);
        request.response().closeHandler(ignored -> exchange.callerGone("connection closed"));
        request.response().exceptionHandler(ignored -> exchange.callerGone("connection broken"));
        parts.metrics().meter(parts.form().metricPrefix() + ".requests").mark();
        return exchange;
    }

    /** Runs an action as well when the exchange ends. */
    public void whenEnded(Runnable action) {
        Runnable before = ending;
        ending = () -> {
            before.run();
            action.run();
        };
    }

    /** Names the request, once its name is known. */
    public void identify(String id) {
        requestId = id;
    }

    /** The name of the request; empty before it is known. */
    public String requestId() {
        return requestId;
    }

    /** The request as it arrived. */
    public HttpServerRequest request() {
        return request;
    }

    /** When the head of the request had arrived. */
    public long begunNanos() {
        return begunNanos;
    }

    /** Whether a part of the answer has been written. */
    public boolean started() {
        return request.response().headWritten();
    }

    /** Whether the caller has its answer, or is gone; from then on nothing may be sent for it. */
    public boolean isEnded() {
        return ended;
    }

    /** How the request ended; empty while it runs. */
    public Optional<EventType> outcome() {
        return outcome;
    }

    /** Whether the caller left before its answer was whole. */
    public boolean isGone() {
        return gone;
    }

    /** Whether an upstream may have run the request. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** States whether an upstream may have run the request; refusals and the deadline tell callers so. */
    public void setMayHaveRun(boolean newMayHaveRun) {
        mayHaveRun = newMayHaveRun;
    }

    /** Completes when the work is of no use any more: the caller is gone or the deadline has passed. */
    public Future<AttemptException> abandoned() {
        return abandoned.future();
    }

    /** Refuses the request at its deadline unless it has ended before. */
    public void startDeadline(long deadlineNanos) {
        long millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()));
        deadlineTimer = parts.vertx().setTimer(millis, ignored -> {
            ResultCode code = mayHaveRun ? ResultCode.UPSTREAM_TIMEOUT : ResultCode.DEADLINE_UNREACHABLE;
            AttemptException failure = AttemptException.of(FailureKind.DEADLINE, "", "deadline of the request");
            abandoned.tryComplete(failure);
            refuse(BaobabcartException.of(code).withCause(failure));
        });
    }

    /** Records an event of this request. */
    public void record(EventType type, EventFields fields) {
        parts.timeline().record(type, requestId, fields);
    }

    /** Sends a whole answer. */
    public void answer(int status, MultiMap headers, Buffer body) {
        if (ended || gone) {
            return;
        }
        begin(status, headers);
        finish(
                EventType.REQUEST_FINISHED,
                finished(status),
                () -> request.response().end(body));
    }

    /** Begins an answer that is framed in chunks and whose body follows in parts. */
    public void beginChunked(int status, MultiMap headers) {
        begin(status, headers);
        request.response().setChunked(true);
    }

    /** Writes a part of the body. */
    public void write(Buffer part) {
        if (!ended && !gone) {
            request.response().write(part);
        }
    }

    /** Pauses an answer until the caller has read enough of what was written; closes the connection of one that stops reading. */
    public void slowDown(UpstreamResponse answer) {
        if (ended || gone || !request.response().writeQueueFull()) {
            return;
        }
        answer.pause();
        long stall = parts.vertx().setTimer(parts.callerStall().toMillis(), ignored -> {
            callerGone("caller stopped reading");
            Connections.abort(request.connection());
        });
        request.response().drainHandler(ignored -> {
            parts.vertx().cancelTimer(stall);
            answer.resume();
        });
    }

    /** Ends a body whose parts were written. */
    public void end() {
        finish(
                EventType.REQUEST_FINISHED,
                finished(request.response().getStatusCode()),
                () -> request.response().end());
    }

    /** Writes the last part of a body and ends it. */
    public void end(Buffer last) {
        finish(
                EventType.REQUEST_FINISHED,
                finished(request.response().getStatusCode()),
                () -> request.response().end(last));
    }

    /** Sends an error, or ends an answer that has begun in a way that shows that it is not whole. */
    public void refuse(Throwable failure) {
        if (ended) {
            return;
        }
        CallerError refusal = CallerError.of(failure, mayHaveRun, parts.form().usualRetryAfter());
        if (refusal.code() == ResultCode.INTERNAL) {
            LOGGER.atWarning().withCause(failure).log(
                    "event=request_failed request=%s code=%d",
                    requestId, refusal.code().number());
        }
        parts.metrics()
                .meter(parts.form().metricPrefix() + ".refusals."
                        + refusal.code().name())
                .mark();
        EventFields fields = describe(refusal, failure);
        if (started()) {
            breakOff(refusal, fields);
            return;
        }
        finish(mayHaveRun ? EventType.REQUEST_FAILED : EventType.REQUEST_REFUSED, fields, () -> send(refusal));
    }

    /** Refuses a request whose body was not read, and closes its connection after that. */
    public void refuseUnread(Throwable failure) {
        if (!request.isEnded() && !started()) {
            closeAfterwards = true;
        }
        refuse(failure);
    }

    private EventFields finished(int status) {
        return EventFields.of(EventField.STATUS, status)
                .with(EventField.FIRST_BYTE_MS, TimeUnit.NANOSECONDS.toMillis(firstByteNanos - begunNanos))
                .with(EventField.TOOK_MS, tookMillis());
    }

    private EventFields describe(CallerError refusal, Throwable failure) {
        EventFields fields = EventFields.of(EventField.CODE, refusal.code().number())
                .with(EventField.RESULT, refusal.code())
                .with(EventField.RAN, refusal.ran().text())
                .with(EventField.TOOK_MS, tookMillis())
                .with(EventField.CAUSE, String.valueOf(failure.getMessage()));
        return refusal.retryAfterMillis().isPresent()
                ? fields.with(
                        EventField.RETRY_AFTER_MS, refusal.retryAfterMillis().getAsLong())
                : fields;
    }

    private long tookMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begunNanos);
    }

    private void breakOff(CallerError refusal, EventFields fields) {
        Optional<Buffer> lastEvent = parts.form().lastEvent(refusal);
        finish(EventType.REQUEST_FAILED, fields, () -> {
            if (lastEvent.isPresent()) {
                return request.response().end(lastEvent.get());
            }
            Connections.abort(request.connection());
            return Future.succeededFuture();
        });
        abandoned.tryComplete(AttemptException.of(FailureKind.BROKEN, "", refusal.message()));
    }

    private void begin(int status, MultiMap headers) {
        HttpServerResponse response = request.response();
        response.setStatusCode(status);
        response.headers().addAll(headers);
        closeIfStopping();
        firstByteNanos = System.nanoTime();
        parts.metrics()
                .timer(parts.form().metricPrefix() + ".first-byte")
                .update(firstByteNanos - begunNanos, TimeUnit.NANOSECONDS);
    }

    private Future<Void> send(CallerError refusal) {
        HttpServerResponse response = request.response();
        response.setStatusCode(refusal.code().httpStatus());
        parts.form().headers(requestId, refusal).forEach(response::putHeader);
        closeIfStopping();
        return response.end(refusal.toJson());
    }

    private void finish(EventType type, EventFields fields, Supplier<Future<Void>> action) {
        if (ended) {
            return;
        }
        ended = true;
        outcome = Optional.of(type);
        parts.vertx().cancelTimer(deadlineTimer);
        record(type, fields);
        ending.run();
        if (gone) {
            return;
        }
        long timer = parts.vertx()
                .setTimer(parts.callerStall().toMillis(), ignored -> Connections.abort(request.connection()));
        action.get().onComplete(ignored -> {
            parts.vertx().cancelTimer(timer);
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
        parts.vertx().setTimer(LINGER.toMillis(), ignored -> Connections.abort(request.connection()));
    }

    private void callerGone(String reason) {
        if (gone || ended) {
            return;
        }
        gone = true;
        abandoned.tryComplete(AttemptException.of(FailureKind.BROKEN, "", "caller gone"));
        finish(
                EventType.REQUEST_CANCELLED,
                EventFields.of(EventField.CODE, ResultCode.CALLER_GONE.number())
                        .with(EventField.TOOK_MS, tookMillis())
                        .with(EventField.CAUSE, reason),
                Future::succeededFuture);
    }
}
