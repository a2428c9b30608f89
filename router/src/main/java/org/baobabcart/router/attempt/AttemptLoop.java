package org.baobabcart.router.attempt;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.baobabcart.model.gateway.RepeatRule;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.request.Headers;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.Ran;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.attempt.AttemptHistory;
import org.baobabcart.policy.crash.CrashCounts;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.router.exchange.CallerExchange;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.transport.EventLoops;
import org.baobabcart.router.upstream.AttemptException;
import org.baobabcart.router.upstream.Slot;
import org.baobabcart.router.upstream.UpstreamRequest;
import org.baobabcart.router.upstream.Work;
import org.baobabcart.router.view.TrafficView;

/**
 * Makes attempts, one after the other, until one succeeds or none is allowed any more. Confined to the event loop of the
 * caller's connection.
 *
 * <p>The state of control is looked up when an attempt is queued, and again right before its first byte leaves. From there on
 * the {@link AttemptHistory} holds that the attempt may have run, until its upstream says that it has not.
 *
 * @param <T> what an answer is turned into
 */
public final class AttemptLoop<T> {
    private final AttemptDependencies parts;
    private final CallerExchange exchange;
    private final AttemptHandler<T> source;
    private final boolean ranBefore;
    private final Promise<T> result = Promise.promise();
    private RequestAttempts attempts;
    private long queuedNanos;

    private AttemptLoop(
            AttemptDependencies parts, CallerExchange exchange, AttemptHandler<T> source, RepeatRule repeat) {
        this.parts = parts;
        this.exchange = exchange;
        this.source = source;
        this.ranBefore = exchange.mayHaveRun();
        this.attempts = RequestAttempts.none(repeat);
    }

    /** A loop of which nothing has been sent. */
    public static <T> AttemptLoop<T> create(
            AttemptDependencies parts, CallerExchange exchange, AttemptHandler<T> source, RepeatRule repeat) {
        return new AttemptLoop<>(parts, exchange, source, repeat);
    }

    /** The attempts so far. */
    public RequestAttempts attempts() {
        return attempts;
    }

    /** The result of the first attempt that succeeds, or a {@link BaobabcartException}. */
    public Future<T> run() {
        EventLoops.runAfterNextRead(this::begin);
        return result.future();
    }

    /** The first attempt, unless the caller's end was read meanwhile. */
    private void begin() {
        if (source.abandoned().isComplete()) {
            giveUp(source.abandoned().result());
            return;
        }
        attempt();
    }

    private void attempt() {
        if (isQuarantined(parts.views().current())) {
            giveUp(BaobabcartException.of(ResultCode.REQUEST_QUARANTINED));
            return;
        }
        Future<CrashGuard.Pass> entered = source.fingerprint()
                .map(parts.crashes()::enter)
                .orElseGet(() -> Future.succeededFuture(CrashGuard.unguarded()));
        entered.onSuccess(this::queue).onFailure(this::giveUp);
    }

    private void queue(CrashGuard.Pass pass) {
        queuedNanos = System.nanoTime();
        try {
            Work work = source.work(attempts);
            Future<Slot> acquired = parts.dispatcher().acquire(work, exchange.abandoned());
            if (!acquired.isComplete()) {
                exchange.record(EventType.REQUEST_QUEUED, queuedFields(work));
            }
            acquired.onSuccess(slot -> send(slot, pass)).onFailure(failure -> {
                pass.ended();
                giveUp(failure);
            });
        } catch (RuntimeException refusal) {
            pass.ended();
            giveUp(refusal);
        }
    }

    private EventFields queuedFields(Work work) {
        return EventFields.of(EventField.SERVICE, work.pool().toString())
                .with(EventField.WAITING, parts.dispatcher().waiting())
                .with(EventField.DEADLINE_MS, millisUntil(source.deadlineNanos()))
                .with(EventField.GENERATION, parts.views().current().generation());
    }

    private static long millisUntil(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos - System.nanoTime());
    }

    private void send(Slot slot, CrashGuard.Pass pass) {
        attempts = attempts.withTry();
        long begun = System.nanoTime();
        VirtualMachine upstream = slot.upstream();
        UpstreamRequest request;
        try {
            request = source.request(upstream, begun - queuedNanos);
        } catch (RuntimeException fault) {
            failed(slot, pass, fault, 0);
            return;
        }
        parts.upstreams()
                .send(upstream, request, () -> passGate(upstream), source.abandoned())
                .compose(answer -> {
                    long nanos = System.nanoTime() - begun;
                    slot.responseStarted(
                            nanos, Optional.ofNullable(answer.headers().get(Headers.LOAD)));
                    answer.onFirstChunk(pass::answered);
                    source.answerBegan(upstream, nanos);
                    return source.consume(upstream, answer);
                })
                .onSuccess(whole -> {
                    slot.responseCompleted(System.nanoTime() - begun);
                    slot.release(Optional.empty());
                    pass.ended();
                    source.succeeded(upstream);
                    result.complete(whole);
                })
                .onFailure(failure -> failed(slot, pass, failure, System.nanoTime() - begun));
    }

    /** The last check before the first byte; throws where nothing may be sent. */
    private void passGate(VirtualMachine upstream) {
        if (source.abandoned().isComplete()) {
            throw source.abandoned().result();
        }
        if (exchange.isEnded() || source.deadlineNanos() - System.nanoTime() <= 0) {
            throw BaobabcartException.of(ResultCode.DEADLINE_UNREACHABLE);
        }
        TrafficView view = parts.views().current();
        if (!parts.dispatcher().isEligible(view, upstream)) {
            throw AttemptException.of(FailureKind.NOT_RUN, upstream.name(), "leaving");
        }
        if (isQuarantined(view)) {
            throw BaobabcartException.of(ResultCode.REQUEST_QUARANTINED);
        }
        source.check(view, upstream);
        note(attempts.withSend());
        exchange.record(
                EventType.REQUEST_DISPATCHED,
                EventFields.of(EventField.UPSTREAM, upstream.name())
                        .with(EventField.ATTEMPT, attempts.ledger().sent())
                        .with(EventField.WAITED_MS, -millisUntil(queuedNanos))
                        .with(EventField.DEADLINE_MS, millisUntil(source.deadlineNanos()))
                        .with(EventField.GENERATION, view.generation()));
    }

    private boolean isQuarantined(TrafficView view) {
        return source.fingerprint()
                .filter(fingerprint -> parts.crashes().isQuarantined(view, fingerprint))
                .isPresent();
    }

    private void note(RequestAttempts now) {
        attempts = now;
        exchange.setMayHaveRun(ranBefore || now.ledger().mayHaveRun());
    }

    private void failed(Slot slot, CrashGuard.Pass pass, Throwable cause, long nanos) {
        boolean useless = source.abandoned().isComplete();
        if (!(cause instanceof AttemptException failure)) {
            slot.release(Optional.empty());
            pass.ended();
            giveUp(cause);
            return;
        }
        boolean sent = attempts.ledger().open() > 0;
        note(attempts.withEnd(failure.kind().ran()));
        if (useless) {
            slot.release(Optional.empty());
            pass.ended();
            giveUp(failure.toResult());
            return;
        }
        if (sent && failure.kind().ran() == Ran.NO) {
            source.notRun();
        }
        if (failure.kind() == FailureKind.ESCALATED) {
            // The decision has its own event.
            slot.release(Optional.empty());
            pass.ended();
            attempt();
            return;
        }
        exchange.record(
                EventType.ATTEMPT_FAILED,
                EventFields.of(EventField.UPSTREAM, slot.upstream().name())
                        .with(EventField.ATTEMPT, attempts.ledger().sent())
                        .with(EventField.FAILURE, failure.kind())
                        .with(EventField.CAUSE, failure.detail()));
        attempts = attempts.withFailedUpstream(slot.upstream().name());
        source.failed(slot.upstream(), failure.kind(), nanos);
        Future<Void> concluded = conclude(slot.upstream(), failure.kind());
        slot.release(Optional.of(failure.kind()));
        concluded.onComplete(ignored -> {
            pass.ended();
            retry(failure);
        });
    }

    private void retry(AttemptException failure) {
        boolean allowed = !exchange.isEnded()
                && failure.kind() != FailureKind.DEADLINE
                && attempts.ledger().maySend()
                && source.mayRetry(failure, attempts);
        if (!allowed) {
            giveUp(failure.toResult());
            return;
        }
        exchange.record(
                EventType.REQUEST_RETRIED,
                EventFields.none()
                        .with(EventField.FAILURE, failure.kind())
                        .with(EventField.TRIED, String.join(",", attempts.failedUpstreams())));
        attempt();
    }

    /** Draws the conclusions for other requests; waits only where it has to be known who broke an upstream. */
    private Future<Void> conclude(VirtualMachine upstream, FailureKind kind) {
        switch (kind) {
            case NOT_CONNECTED -> {
                parts.health().markUnreachable(upstream);
                source.judged(upstream, false);
            }
            case NOT_RUN -> parts.health().markUnavailable(upstream);
            case SILENT, BROKEN -> {
                Future<Boolean> judged = judge(upstream);
                if (kind == FailureKind.BROKEN && source.fingerprint().isPresent()) {
                    judged.onSuccess(alive -> blame(upstream, alive));
                    boolean retryPossible = attempts.ledger().maySend() && !exchange.started();
                    return retryPossible ? judged.mapEmpty() : Future.succeededFuture();
                }
            }
            default -> {}
        }
        return Future.succeededFuture();
    }

    /** Gives up the connections of the upstream, and asks on a new one whether its host is there. */
    private Future<Boolean> judge(VirtualMachine upstream) {
        parts.upstreams().discardConnections(upstream.name());
        return parts.health().checkReachability(upstream).onSuccess(alive -> source.judged(upstream, alive));
    }

    private void blame(VirtualMachine upstream, boolean alive) {
        int weight = alive ? CrashCounts.BROKEN_CONNECTION : CrashCounts.LOST_UPSTREAM;
        source.fingerprint().ifPresent(fingerprint -> parts.crashes().crashed(upstream.name(), fingerprint, weight));
    }

    private void giveUp(Throwable cause) {
        result.tryFail(cause instanceof AttemptException failure ? failure.toResult() : cause);
    }
}
