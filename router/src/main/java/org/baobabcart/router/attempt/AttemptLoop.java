package org.baobabcart.router.attempt;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.baobabcart.model.gateway.RetryPolicy;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.request.Headers;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.Ran;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.attempt.AttemptHistory;
import org.baobabcart.policy.crash.CrashSeverity;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.router.exchange.Callbacks;
import org.baobabcart.router.exchange.CallerExchange;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.transport.ConnectionUse;
import org.baobabcart.router.transport.EventLoops;
import org.baobabcart.router.upstream.AttemptException;
import org.baobabcart.router.upstream.ConnectionChoice;
import org.baobabcart.router.upstream.HealthCheckResult;
import org.baobabcart.router.upstream.Slot;
import org.baobabcart.router.upstream.SlotRequest;
import org.baobabcart.router.upstream.UpstreamRequest;
import org.baobabcart.router.upstream.UpstreamResponse;
import org.baobabcart.router.view.TrafficView;

/**
 * Sends attempts sequentially until one succeeds or no further attempt is allowed. Confined to the event loop of the caller's
 * connection.
 *
 * <p>The control state is consulted when an attempt is queued and again right before its first byte is sent. From then on the
 * {@link AttemptHistory} assumes that the attempt may have run, until its upstream states that it has not.
 *
 * @param <T> the result type of a consumed response
 */
public final class AttemptLoop<T> {
    private final AttemptDependencies dependencies;
    private final CallerExchange exchange;
    private final AttemptHandler<T> handler;
    private final boolean mayHaveRunBefore;
    private final Promise<T> result = Promise.promise();
    private RequestAttempts attempts;
    private long queuedNanos;
    /** Whether the answer of the last attempt has begun to arrive. */
    private boolean answerBegun;
    /**
     * The connections for the next attempt. After an answer to another request, other kept connections may bring one as
     * well.
     */
    private ConnectionChoice connections = ConnectionChoice.KEPT_OR_NEW;

    /** The response to the last attempt; empty before its head has arrived. */
    private Optional<UpstreamResponse> response = Optional.empty();

    private AttemptLoop(
            AttemptDependencies dependencies, CallerExchange exchange, AttemptHandler<T> handler, RetryPolicy repeat) {
        this.dependencies = dependencies;
        this.exchange = exchange;
        this.handler = handler;
        this.mayHaveRunBefore = exchange.mayHaveRun();
        this.attempts = RequestAttempts.none(repeat);
    }

    /** Creates a loop that has not sent anything. */
    public static <T> AttemptLoop<T> create(
            AttemptDependencies dependencies, CallerExchange exchange, AttemptHandler<T> handler, RetryPolicy repeat) {
        return new AttemptLoop<>(dependencies, exchange, handler, repeat);
    }

    /** Returns the attempts so far. */
    public RequestAttempts attempts() {
        return attempts;
    }

    /** Starts the loop; completes with the result of the first successful attempt or fails with a {@link BaobabcartException}. */
    public Future<T> run() {
        EventLoops.runAfterNextRead(this::begin);
        return result.future();
    }

    /** Starts the first attempt, unless the end of the caller's connection was read in the meantime. */
    private void begin() {
        if (handler.abandoned().isComplete()) {
            fail(handler.abandoned().result());
            return;
        }
        attempt();
    }

    private void attempt() {
        dependencies
                .crashGuard()
                .acquirePermit(handler, handler.deadlineNanos(), exchange.abandoned())
                .onSuccess(permit -> orFail(() -> queue(permit)))
                .onFailure(this::fail);
    }

    private void queue(CrashGuard.Permit permit) {
        queuedNanos = System.nanoTime();
        try {
            requireTimeToRun();
            SlotRequest slotRequest = handler.slotRequest(attempts)
                    .withAvoided(dependencies.crashGuard().avoidedUpstreams(permit));
            Future<Slot> acquired = dependencies.dispatcher().acquire(slotRequest, exchange.abandoned());
            if (!acquired.isComplete()) {
                exchange.record(EventType.REQUEST_QUEUED, queuedFields(slotRequest));
            }
            acquired.onSuccess(slot -> sendOrRelease(slot, permit)).onFailure(failure -> {
                permit.attemptEnded();
                fail(failure);
            });
        } catch (RuntimeException rejection) {
            permit.attemptEnded();
            fail(rejection);
        }
    }

    private EventFields queuedFields(SlotRequest slotRequest) {
        return EventFields.of(EventField.SERVICE, slotRequest.pool().toString())
                .with(EventField.WAITING, dependencies.dispatcher().waiting())
                .with(EventField.DEADLINE_MS, millisUntil(handler.deadlineNanos()))
                .with(EventField.GENERATION, dependencies.views().current().generation());
    }

    private static long millisUntil(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos - System.nanoTime());
    }

    private void sendOrRelease(Slot slot, CrashGuard.Permit permit) {
        try {
            send(slot, permit);
        } catch (RuntimeException fault) {
            handleFailure(slot, permit, fault, 0);
        }
    }

    private void send(Slot slot, CrashGuard.Permit permit) {
        attempts = attempts.withTry();
        answerBegun = false;
        response = Optional.empty();
        permit.assigned(slot.upstream());
        long startNanos = System.nanoTime();
        VirtualMachine upstream = slot.upstream();
        UpstreamRequest request;
        try {
            request = handler.request(upstream, startNanos - queuedNanos);
        } catch (RuntimeException fault) {
            handleFailure(slot, permit, fault, 0);
            return;
        }
        dependencies
                .upstreams()
                .send(
                        upstream,
                        request,
                        connections,
                        connection -> checkBeforeSend(slot, permit, request, connection),
                        handler.abandoned())
                .compose(begun -> {
                    long nanos = System.nanoTime() - startNanos;
                    response = Optional.of(begun);
                    runGuarded(() -> slot.responseStarted(
                            nanos,
                            begun.status(),
                            Optional.ofNullable(begun.headers().get(Headers.LOAD))));
                    begun.onFirstChunk(() -> {
                        answerBegun = true;
                        permit.responseStarted();
                    });
                    runGuarded(() -> handler.responseStarted(upstream, nanos));
                    return handler.consume(upstream, begun);
                })
                .onSuccess(consumed -> {
                    runGuarded(() -> slot.responseCompleted(System.nanoTime() - startNanos));
                    runGuarded(() -> slot.release(Optional.empty()));
                    runGuarded(permit::attemptEnded);
                    runGuarded(() -> handler.succeeded(upstream));
                    result.complete(consumed);
                })
                .onFailure(
                        failure -> orFail(() -> handleFailure(slot, permit, failure, System.nanoTime() - startNanos)));
    }

    /** Updates statistics or shared state, whose failure must not cost the caller the response. */
    private void runGuarded(Runnable update) {
        Callbacks.run(exchange.requestId(), update);
    }

    /** Runs a step of the loop; what it throws ends the request instead of leaving it without a response. */
    private void orFail(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException fault) {
            fail(fault);
        }
    }

    /** Performs the final checks before the first byte is sent; throws if the attempt may not be sent. */
    private void checkBeforeSend(
            Slot slot, CrashGuard.Permit permit, UpstreamRequest request, ConnectionUse connection) {
        VirtualMachine upstream = slot.upstream();
        if (connection.carriedBefore() == 0) {
            slot.connected();
        }
        if (handler.abandoned().isComplete()) {
            throw handler.abandoned().result();
        }
        if (exchange.isEnded() || handler.deadlineNanos() - System.nanoTime() <= 0) {
            throw BaobabcartException.of(ResultCode.DEADLINE_UNREACHABLE);
        }
        requireTimeToRun();
        TrafficView view = dependencies.views().current();
        if (!dependencies.dispatcher().isEligible(view, slot)) {
            throw AttemptException.of(FailureKind.NOT_SENT, upstream.name(), "the upstream no longer accepts work");
        }
        dependencies.crashGuard().check(permit);
        handler.check(view, upstream);
        updateAttempts(attempts.withSend());
        exchange.record(
                EventType.REQUEST_DISPATCHED,
                EventFields.of(EventField.UPSTREAM, upstream.name())
                        .with(EventField.ATTEMPT, attempts.history().sent())
                        .with(EventField.WAITED_MS, -millisUntil(queuedNanos))
                        .with(EventField.DEADLINE_MS, millisUntil(handler.deadlineNanos()))
                        .with(EventField.BODY_BYTES, request.body().length())
                        .with(EventField.CONNECTION, connection.connection())
                        .with(EventField.CARRIED, connection.carriedBefore())
                        .with(EventField.GENERATION, view.generation()));
    }

    /** Throws if nothing was sent yet and the process may have stopped before the request's deadline. */
    private void requireTimeToRun() {
        if (attempts.history().sent() == 0 && !dependencies.drain().mayBegin(handler.deadlineNanos())) {
            throw BaobabcartException.of(ResultCode.STOPPING);
        }
    }

    private void updateAttempts(RequestAttempts newAttempts) {
        attempts = newAttempts;
        exchange.setMayHaveRun(mayHaveRunBefore || newAttempts.history().mayHaveRun());
    }

    private void handleFailure(Slot slot, CrashGuard.Permit permit, Throwable cause, long nanos) {
        boolean abandoned = handler.abandoned().isComplete();
        if (!(cause instanceof AttemptException failure)) {
            slot.release(Optional.empty());
            permit.attemptEnded();
            fail(cause);
            return;
        }
        if (failure.kind() == FailureKind.CROSSED) {
            connections = ConnectionChoice.NEW;
        }
        boolean sent = attempts.history().open() > 0;
        updateAttempts(attempts.withEnd(failure.kind().ran()));
        if (abandoned) {
            slot.release(Optional.empty());
            permit.attemptEnded();
            fail(failure.toResult());
            return;
        }
        if (sent && failure.kind().ran() == Ran.NO) {
            handler.notRun();
        }
        if (failure.kind() == FailureKind.ESCALATED) {
            // The escalation is already recorded as an event of its own.
            slot.release(Optional.empty());
            permit.attemptEnded();
            attempt();
            return;
        }
        exchange.record(
                EventType.ATTEMPT_FAILED,
                response.map(UpstreamResponse::describe)
                        .orElseGet(failure::answer)
                        .with(EventField.UPSTREAM, slot.upstream().name())
                        .with(EventField.ATTEMPT, attempts.history().sent())
                        .with(EventField.FAILURE, failure.kind())
                        .with(EventField.CAUSE, failure.detail())
                        .with(EventField.ANSWER_BEGUN, answerBegun)
                        .with(EventField.PARTS, String.join(",", handler.promptParts())));
        attempts = attempts.withFailedUpstream(slot.upstream().name());
        runGuarded(() -> handler.failed(slot.upstream(), failure.kind(), nanos));
        Future<Void> sharedStateUpdated = updateSharedState(slot.upstream(), failure.kind(), permit);
        slot.release(Optional.of(failure.kind()));
        sharedStateUpdated.onComplete(ignored -> orFail(() -> {
            permit.attemptEnded();
            retry(failure);
        }));
    }

    private void retry(AttemptException failure) {
        boolean allowed = !exchange.isEnded()
                && failure.kind() != FailureKind.DEADLINE
                && attempts.history().maySend()
                && handler.mayRetry(failure, attempts);
        if (!allowed) {
            fail(failure.toResult());
            return;
        }
        exchange.record(
                EventType.REQUEST_RETRIED,
                EventFields.none()
                        .with(EventField.FAILURE, failure.kind())
                        .with(EventField.TRIED, String.join(",", attempts.failedUpstreams())));
        attempt();
    }

    /**
     * Updates the state shared with other requests after a failed attempt. The result is delayed only if a retry has to wait
     * until the crash is attributed to the request.
     */
    private Future<Void> updateSharedState(VirtualMachine upstream, FailureKind kind, CrashGuard.Permit permit) {
        switch (kind) {
            case NOT_CONNECTED -> {
                dependencies.health().markUnreachable(upstream);
                handler.probed(upstream, false);
            }
            case NOT_RUN -> dependencies.health().markUnavailable(upstream);
            case REPLACED -> {
                dependencies.health().markReplaced(upstream);
                dependencies.upstreams().retireConnections(upstream.name());
            }
            case SILENT, SLOW, BROKEN -> {
                Future<HealthCheckResult> probed = probe(upstream);
                if (kind == FailureKind.BROKEN && !answerBegun) {
                    probed.onSuccess(result -> permit.crashed(upstream, severityOf(result)));
                    boolean retryPossible = attempts.history().maySend() && !exchange.responseStarted();
                    return retryPossible ? probed.mapEmpty() : Future.succeededFuture();
                }
            }
            default -> {}
        }
        return Future.succeededFuture();
    }

    /** An upstream that accepts a connection and responds late may be busy, which is no sign that it crashed. */
    private static CrashSeverity severityOf(HealthCheckResult result) {
        return result == HealthCheckResult.FAILED ? CrashSeverity.LOST_UPSTREAM : CrashSeverity.BROKEN_CONNECTION;
    }

    /** Retires the pooled connections of the upstream and probes on a new one whether it still accepts connections. */
    private Future<HealthCheckResult> probe(VirtualMachine upstream) {
        dependencies.upstreams().retireConnections(upstream.name());
        return dependencies.health().checkReachability(upstream).onSuccess(result -> {
            exchange.record(
                    EventType.UPSTREAM_PROBED,
                    EventFields.of(EventField.UPSTREAM, upstream.name())
                            .with(EventField.REACHABLE, result != HealthCheckResult.FAILED));
            handler.probed(upstream, result.isHealthy());
        });
    }

    private void fail(Throwable cause) {
        result.tryFail(cause instanceof AttemptException failure ? failure.toResult() : cause);
    }
}
