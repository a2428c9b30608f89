package org.baobabcart.router.exchange;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
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
import org.baobabcart.router.transport.EventLoopTimers;
import org.baobabcart.router.upstream.AttemptException;
import org.baobabcart.router.upstream.UpstreamResponse;

/**
 * A caller's request and the response to it, for any interface. Confined to the event loop of the caller's connection.
 *
 * <p>The response ends exactly once; ending it again has no effect. A response that cannot be completed ends as defined by the
 * {@link ErrorFormat}, so that the caller never takes it for complete.
 */
public final class CallerExchange {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** How long bytes that a caller still sends are read before its connection is closed; allows for a few round trips. */
    private static final Duration LINGER = Duration.ofSeconds(1);

    private final ExchangeDependencies dependencies;
    private final HttpServerRequest request;
    private final BooleanSupplier closeRequested;
    private final Promise<AttemptException> abandoned = Promise.promise();
    private final long startNanos = System.nanoTime();
    private final List<Runnable> endActions = new ArrayList<>();
    private final Runnable writtenAction;
    private String requestId = "";
    private long firstByteNanos;
    private long deadlineTimer = -1;
    private long stallTimer = -1;
    private EventFields answerFields = EventFields.none();
    private OptionalLong generation = OptionalLong.empty();
    private long answerBytes;
    private Optional<EventType> outcome = Optional.empty();
    private boolean ended;
    private boolean callerGone;
    private boolean closeAfterwards;
    private boolean mayHaveRun;

    private CallerExchange(
            ExchangeDependencies dependencies,
            HttpServerRequest request,
            BooleanSupplier closeRequested,
            Runnable endAction,
            Runnable writtenAction) {
        this.dependencies = dependencies;
        this.request = request;
        this.closeRequested = closeRequested;
        this.writtenAction = writtenAction;
        endActions.add(endAction);
    }

    /**
     * Creates an exchange that observes the caller's connection.
     *
     * @param closeRequested returns whether to close the connection after the response
     * @param endAction runs once when the response has ended or the caller has disconnected
     * @param writtenAction runs once when nothing more is written and the connection may be used again
     */
    public static CallerExchange create(
            ExchangeDependencies dependencies,
            HttpServerRequest request,
            BooleanSupplier closeRequested,
            Runnable endAction,
            Runnable writtenAction) {
        CallerExchange exchange = new CallerExchange(dependencies, request, closeRequested, endAction, writtenAction);
        request.response().closeHandler(ignored -> exchange.onCallerGone("connection closed"));
        request.response().exceptionHandler(ignored -> exchange.onCallerGone("connection broken"));
        dependencies
                .metrics()
                .meter(dependencies.errorFormat().metricPrefix() + ".requests")
                .mark();
        return exchange;
    }

    /** Adds an action that runs when the exchange ends. */
    public void addEndAction(Runnable action) {
        endActions.add(action);
    }

    /** Runs an action when the exchange ends, or at once if it has ended. */
    public void onEnd(Runnable action) {
        if (ended) {
            action.run();
        } else {
            addEndAction(action);
        }
    }

    /** Sets the request id once it is known. */
    public void setRequestId(String id) {
        requestId = id;
    }

    /** Returns the request id; empty before it is known. */
    public String requestId() {
        return requestId;
    }

    /** Returns the request as received. */
    public HttpServerRequest request() {
        return request;
    }

    /** Returns the time at which the head of the request had arrived, by {@link System#nanoTime}. */
    public long startNanos() {
        return startNanos;
    }

    /** Returns whether the response head has been written. */
    public boolean responseStarted() {
        return request.response().headWritten();
    }

    /** Returns whether the response has ended or the caller has disconnected; no attempt may be sent from then on. */
    public boolean isEnded() {
        return ended;
    }

    /** Returns how the request ended; empty while it runs. */
    public Optional<EventType> outcome() {
        return outcome;
    }

    /** Returns whether the caller disconnected before its response was complete. */
    public boolean isCallerGone() {
        return callerGone;
    }

    /** Returns whether an upstream may have run the request. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Sets whether an upstream may have run the request, which determines the errors reported to the caller. */
    public void setMayHaveRun(boolean newMayHaveRun) {
        mayHaveRun = newMayHaveRun;
    }

    /**
     * Returns a future that completes when the result is no longer needed: the caller has disconnected, the deadline has passed or
     * the response has failed after its start.
     */
    public Future<AttemptException> abandoned() {
        return abandoned.future();
    }

    /** Starts a timer that fails the request at its deadline unless it has ended before. */
    public void startDeadline(long deadlineNanos) {
        Duration timeLeft = Duration.ofNanos(deadlineNanos - System.nanoTime());
        deadlineTimer = EventLoopTimers.start(dependencies.vertx(), timeLeft, () -> {
            ResultCode code = mayHaveRun ? ResultCode.UPSTREAM_TIMEOUT : ResultCode.DEADLINE_UNREACHABLE;
            AttemptException failure =
                    AttemptException.of(FailureKind.DEADLINE, "", "the request's deadline has passed");
            abandon(failure);
            fail(BaobabcartException.of(code).withCause(failure));
        });
    }

    /** Ends a request that still runs, because the process ends now. */
    public void endForStop() {
        if (ended) {
            return;
        }
        ResultCode code = mayHaveRun ? ResultCode.UPSTREAM_FAILED : ResultCode.STOPPING;
        failUnread(BaobabcartException.of(code, "the router ends before the answer was complete"));
        abandon(AttemptException.of(FailureKind.DEADLINE, "", "the process ends"));
    }

    /** Records an event of this request. */
    public void record(EventType type, EventFields fields) {
        dependencies.timeline().record(type, requestId, fields);
    }

    /** Sets the generation of the configuration by which the request is admitted or refused. */
    public void setGeneration(long newGeneration) {
        generation = OptionalLong.of(newGeneration);
    }

    /** Sets the fields that describe the upstream's response once it is known to be complete. */
    public void describeAnswer(EventFields fields) {
        answerFields = fields;
    }

    /** Sends a complete response. */
    public void respond(int status, MultiMap headers, Buffer body) {
        if (ended || callerGone) {
            return;
        }
        answerBytes += body.length();
        beginResponse(status, headers);
        complete(
                EventType.REQUEST_FINISHED,
                finishedFields(status),
                () -> request.response().end(body));
    }

    /** Starts a chunked response whose body is written in parts. */
    public void beginChunked(int status, MultiMap headers) {
        beginResponse(status, headers);
        request.response().setChunked(true);
    }

    /** Writes a part of the body. */
    public void write(Buffer part) {
        if (!ended && !callerGone) {
            answerBytes += part.length();
            request.response().write(part);
        }
    }

    /**
     * Pauses an upstream response while the caller's write queue is full. Closes the connection of a caller that does not read for
     * the configured time.
     */
    public void applyBackpressure(UpstreamResponse upstreamResponse) {
        if (ended || callerGone || !request.response().writeQueueFull()) {
            return;
        }
        upstreamResponse.pause();
        if (stallTimer < 0) {
            stallTimer = EventLoopTimers.start(dependencies.vertx(), dependencies.callerStall(), () -> {
                onCallerGone("caller stopped reading");
                Connections.abort(request.connection());
            });
        }
        request.response().drainHandler(ignored -> {
            cancelStallTimer();
            upstreamResponse.resume();
        });
    }

    private void cancelStallTimer() {
        if (stallTimer >= 0) {
            dependencies.vertx().cancelTimer(stallTimer);
            stallTimer = -1;
        }
    }

    /** Ends a response whose body was written in parts. */
    public void end() {
        complete(
                EventType.REQUEST_FINISHED,
                finishedFields(request.response().getStatusCode()),
                () -> request.response().end());
    }

    /** Writes the last part of the body and ends the response. */
    public void end(Buffer last) {
        answerBytes += last.length();
        complete(
                EventType.REQUEST_FINISHED,
                finishedFields(request.response().getStatusCode()),
                () -> request.response().end(last));
    }

    /** Sends an error response, or ends a response that has started in a way that shows that it is incomplete. */
    public void fail(Throwable failure) {
        if (ended) {
            return;
        }
        CallerError error =
                CallerError.of(failure, mayHaveRun, dependencies.errorFormat().defaultRetryAfter());
        if (error.code() == ResultCode.INTERNAL) {
            LOGGER.atWarning().withCause(failure).log(
                    "event=request_failed request=%s code=%d",
                    requestId, error.code().number());
        }
        dependencies
                .metrics()
                .meter(dependencies.errorFormat().metricPrefix() + ".refusals."
                        + error.code().name())
                .mark();
        EventFields fields = errorFields(error, failure);
        if (responseStarted()) {
            failStarted(error, fields);
            return;
        }
        complete(mayHaveRun ? EventType.REQUEST_FAILED : EventType.REQUEST_REFUSED, fields, () -> sendError(error));
    }

    /** Sends an error response to a request whose body was not read completely, and closes the connection afterwards. */
    public void failUnread(Throwable failure) {
        if (!request.isEnded() && !responseStarted()) {
            closeAfterwards = true;
        }
        fail(failure);
    }

    private EventFields finishedFields(int status) {
        return answerFields
                .with(EventField.STATUS, status)
                .with(EventField.ANSWER_BYTES, answerBytes)
                .with(EventField.FIRST_BYTE_MS, TimeUnit.NANOSECONDS.toMillis(firstByteNanos - startNanos))
                .with(EventField.TOOK_MS, tookMillis());
    }

    private EventFields errorFields(CallerError error, Throwable failure) {
        EventFields fields = EventFields.of(EventField.CODE, error.code().number())
                .with(EventField.RESULT, error.code())
                .with(EventField.RAN, error.ran().text())
                .with(EventField.TOOK_MS, tookMillis())
                .with(EventField.CAUSE, String.valueOf(failure.getMessage()));
        if (generation.isPresent()) {
            fields = fields.with(EventField.GENERATION, generation.getAsLong());
        }
        return error.retryAfterMillis().isPresent()
                ? fields.with(
                        EventField.RETRY_AFTER_MS, error.retryAfterMillis().getAsLong())
                : fields;
    }

    private long tookMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private void failStarted(CallerError error, EventFields fields) {
        Optional<Buffer> finalEvent = dependencies.errorFormat().finalEvent(error);
        complete(EventType.REQUEST_FAILED, fields, () -> {
            if (finalEvent.isPresent()) {
                return request.response().end(finalEvent.get());
            }
            Connections.abort(request.connection());
            return Future.succeededFuture();
        });
        abandon(AttemptException.of(FailureKind.BROKEN, "", error.message()));
    }

    private void beginResponse(int status, MultiMap headers) {
        HttpServerResponse response = request.response();
        response.setStatusCode(status);
        response.headers().addAll(headers);
        announceClose();
        firstByteNanos = System.nanoTime();
        dependencies
                .metrics()
                .timer(dependencies.errorFormat().metricPrefix() + ".first-byte")
                .update(firstByteNanos - startNanos, TimeUnit.NANOSECONDS);
    }

    private Future<Void> sendError(CallerError error) {
        HttpServerResponse response = request.response();
        response.setStatusCode(dependencies.errorFormat().httpStatus(error));
        dependencies.errorFormat().headers(requestId, error).forEach(response::putHeader);
        announceClose();
        return response.end(error.toJson());
    }

    private void complete(EventType type, EventFields fields, Supplier<Future<Void>> action) {
        if (ended) {
            return;
        }
        ended = true;
        outcome = Optional.of(type);
        dependencies.vertx().cancelTimer(deadlineTimer);
        cancelStallTimer();
        Callbacks.run(requestId, () -> record(type, fields));
        endActions.forEach(endAction -> Callbacks.run(requestId, endAction));
        if (callerGone) {
            // An HTTP/2 connection outlives the stream that its caller has reset.
            Callbacks.run(requestId, writtenAction);
            return;
        }
        long timer = EventLoopTimers.start(
                dependencies.vertx(), dependencies.callerStall(), () -> Connections.abort(request.connection()));
        writeEnd(action).onComplete(ignored -> {
            dependencies.vertx().cancelTimer(timer);
            if (closeAfterwards) {
                closeLingering();
            } else {
                Callbacks.run(requestId, writtenAction);
            }
        });
    }

    /** Writes the end of the response. If that is not possible, the caller sees the connection close instead of waiting. */
    private Future<Void> writeEnd(Supplier<Future<Void>> action) {
        try {
            return action.get();
        } catch (RuntimeException failure) {
            LOGGER.atSevere().withCause(failure).log("event=response_failed request=%s", requestId);
            Connections.abort(request.connection());
            return Future.failedFuture(failure);
        }
    }

    private void abandon(AttemptException reason) {
        Callbacks.run(requestId, () -> abandoned.tryComplete(reason));
    }

    private void announceClose() {
        if (closeRequested.getAsBoolean()) {
            closeAfterwards = true;
        }
        if (closeAfterwards) {
            request.response().putHeader("Connection", "close");
        }
    }

    /**
     * Reads and discards input for a while before closing, since closing with unread bytes may reset the connection and lose the
     * response.
     */
    private void closeLingering() {
        if (request.isEnded()) {
            request.connection().close();
            return;
        }
        request.handler(ignored -> {});
        request.endHandler(ignored -> request.connection().close());
        request.resume();
        dependencies.vertx().setTimer(LINGER.toMillis(), ignored -> Connections.abort(request.connection()));
    }

    private void onCallerGone(String reason) {
        if (callerGone || ended) {
            return;
        }
        callerGone = true;
        abandon(AttemptException.of(FailureKind.BROKEN, "", "the caller has disconnected"));
        complete(
                EventType.REQUEST_CANCELLED,
                EventFields.of(EventField.CODE, ResultCode.CALLER_GONE.number())
                        .with(EventField.TOOK_MS, tookMillis())
                        .with(EventField.CAUSE, reason),
                Future::succeededFuture);
    }
}
