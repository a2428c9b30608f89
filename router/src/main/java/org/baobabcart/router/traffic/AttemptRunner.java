package org.baobabcart.router.traffic;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.request.Headers;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.Ran;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.crash.CrashCounts;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.policy.version.VersionPolicy;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.upstream.AttemptException;
import org.baobabcart.router.upstream.Slot;
import org.baobabcart.router.upstream.UpstreamAnswer;
import org.baobabcart.router.upstream.UpstreamRequest;
import org.baobabcart.router.upstream.Work;
import org.baobabcart.router.view.TrafficView;

/**
 * Makes the attempts of one step, one after the other, until one succeeds or none is allowed any more. Confined to the
 * event loop of the caller's connection.
 *
 * @param <T> what an answer is turned into
 */
final class AttemptRunner<T> {
    private static final CrashGuard.Pass UNGUARDED = CrashGuard.unguarded();

    private final TrafficRuntime runtime;
    private final CallerExchange exchange;
    private final CallerContext context;
    private final AttemptPlan plan;
    private final Function<UpstreamAnswer, Future<T>> consumer;
    private final Future<AttemptException> abandoned;

    private AttemptRunner(
            TrafficRuntime runtime,
            CallerExchange exchange,
            CallerContext context,
            AttemptPlan plan,
            Function<UpstreamAnswer, Future<T>> consumer) {
        this.runtime = runtime;
        this.exchange = exchange;
        this.context = context;
        this.plan = plan;
        this.consumer = consumer;
        this.abandoned = plan.repeatable() ? exchange.abandoned() : never();
    }

    static <T> AttemptRunner<T> create(
            TrafficRuntime runtime,
            CallerExchange exchange,
            CallerContext context,
            AttemptPlan plan,
            Function<UpstreamAnswer, Future<T>> consumer) {
        return new AttemptRunner<>(runtime, exchange, context, plan, consumer);
    }

    /** The result of the first attempt that succeeds, or a {@link BaobabcartException}. */
    Future<T> run() {
        runtime.guards().retries().firstTry();
        return attempt(1, Set.of());
    }

    private static Future<AttemptException> never() {
        return Promise.<AttemptException>promise().future();
    }

    private Future<T> attempt(int number, Set<String> failed) {
        boolean first = number == 1 && !exchange.mayHaveRun();
        Work work = new Work(
                exchange.requestId(),
                plan.pool(),
                context.rankIndex(),
                context.workspace().name(),
                context.workspace().weight(),
                first ? context.targetNanos() : context.deadlineNanos(),
                first && !plan.repeatable() ? context.targetNanos() : context.deadlineNanos(),
                context.deadlineNanos(),
                plan.size(),
                plan.affinity(),
                failed);
        if (isQuarantined(runtime.parts().views().current())) {
            return Future.failedFuture(BaobabcartException.of(ResultCode.REQUEST_QUARANTINED));
        }
        return enter().compose(pass -> runtime.dispatcher()
                .acquire(work, exchange.abandoned())
                .compose(slot -> send(slot, pass).recover(failure -> again(number, failed, slot.upstream(), failure)))
                .onComplete(ignored -> pass.ended()));
    }

    private Future<CrashGuard.Pass> enter() {
        return plan.fingerprint()
                .map(runtime.guards().crashes()::enter)
                .orElseGet(() -> Future.succeededFuture(UNGUARDED));
    }

    private Future<T> send(Slot slot, CrashGuard.Pass pass) {
        boolean mayHaveRunBefore = exchange.mayHaveRun();
        long begun = System.nanoTime();
        UpstreamRequest request = plan.request().apply(plan.attemptIds().get());
        exchange.record(EventType.REQUEST_DISPATCHED, slot.upstream().name());
        return runtime.upstreams()
                .send(slot.upstream(), request, () -> passGate(slot.upstream()), abandoned)
                .compose(answer -> {
                    Optional<String> load = Optional.ofNullable(answer.headers().get(Headers.LOAD));
                    slot.observe(System.nanoTime() - begun, load);
                    answer.onFirstPart(pass::answered);
                    return consumer.apply(answer);
                })
                .onSuccess(ignored -> {
                    slot.finished(System.nanoTime() - begun);
                    slot.release(Optional.empty());
                    pass.ended();
                })
                .recover(failure -> failed(slot, failure, mayHaveRunBefore)
                        .onComplete(ignored -> pass.ended())
                        .compose(ignored -> Future.failedFuture(failure)));
    }

    /** Draws the conclusions from a failure; completes at once unless a retry depends on them. */
    private Future<Void> failed(Slot slot, Throwable failure, boolean mayHaveRunBefore) {
        if (!(failure instanceof AttemptException attemptFailure) || abandoned.isComplete()) {
            slot.release(Optional.empty());
            return Future.succeededFuture();
        }
        countFailure(attemptFailure.kind());
        if (attemptFailure.kind().ran() == Ran.NO) {
            exchange.restoreSent(mayHaveRunBefore);
            plan.gate().returned();
        }
        Future<Void> judged = report(slot.upstream(), attemptFailure.kind());
        slot.release(Optional.of(attemptFailure.kind()));
        boolean retryPossible = plan.repeatable() && !exchange.started();
        return retryPossible ? judged : Future.succeededFuture();
    }

    private void passGate(VirtualMachine upstream) {
        TrafficView view = runtime.parts().views().current();
        if (abandoned.isComplete()) {
            throw abandoned.result();
        }
        if (exchange.isEnded() || context.deadlineNanos() - System.nanoTime() <= 0) {
            throw BaobabcartException.of(ResultCode.DEADLINE_UNREACHABLE);
        }
        if (!view.upstreams().contains(upstream)) {
            throw AttemptException.of(FailureKind.NOT_RUN, upstream.name(), "leaving");
        }
        if (isQuarantined(view)) {
            throw BaobabcartException.of(ResultCode.REQUEST_QUARANTINED);
        }
        checkVersion(view);
        plan.gate().pass();
        exchange.markSent();
    }

    private boolean isQuarantined(TrafficView view) {
        return plan.fingerprint()
                .filter(fingerprint -> runtime.guards().crashes().isQuarantined(view, fingerprint))
                .isPresent();
    }

    private void checkVersion(TrafficView view) {
        String model = plan.pool().model();
        String version = plan.pool().version();
        boolean withdrawn = view.sheet()
                .filter(published ->
                        VersionPolicy.of(published.sheet(), view.rollOuts()).isWithdrawn(model, version))
                .isPresent();
        if (withdrawn) {
            throw BaobabcartException.of(ResultCode.VERSION_WITHDRAWN);
        }
    }

    private Future<T> again(int number, Set<String> failed, VirtualMachine upstream, Throwable cause) {
        if (!(cause instanceof AttemptException failure)) {
            return Future.failedFuture(cause);
        }
        if (abandoned.isComplete()) {
            return Future.failedFuture(failure.toResult());
        }
        boolean allowed =
                !exchange.started() && runtime.guards().retries().mayRetry(failure.kind(), plan.repeatable(), number);
        if (!allowed) {
            return Future.failedFuture(failure.toResult());
        }
        exchange.record(EventType.REQUEST_RETRIED, failure.kind() + " at " + upstream.name());
        Set<String> avoid = new HashSet<>(failed);
        avoid.add(upstream.name());
        return attempt(number + 1, avoid);
    }

    private Future<Void> report(VirtualMachine upstream, FailureKind kind) {
        switch (kind) {
            case SILENT -> judge(upstream);
            case NOT_CONNECTED -> unreachable(upstream);
            case NOT_RUN -> runtime.health().markResting(upstream);
            case BROKEN -> {
                return judge(upstream)
                        .onSuccess(alive -> broken(upstream, alive))
                        .mapEmpty();
            }
            default -> {}
        }
        return Future.succeededFuture();
    }

    private void countFailure(FailureKind kind) {
        if (kind.ran() == Ran.UNKNOWN && !plan.pool().model().isEmpty()) {
            runtime.guards().evidence().failed(plan.pool().model(), plan.pool().version());
        }
    }

    private void broken(VirtualMachine upstream, boolean alive) {
        int weight = alive ? CrashCounts.BROKEN_CONNECTION : CrashCounts.LOST_UPSTREAM;
        plan.fingerprint().ifPresent(fingerprint -> {
            runtime.guards().crashes().crashed(fingerprint, weight);
            for (int unit = 0; unit < weight; unit++) {
                runtime.parts().feedback().crashed(upstream.name(), fingerprint);
            }
        });
    }

    private void unreachable(VirtualMachine upstream) {
        runtime.health().markDown(upstream);
        runtime.parts().feedback().unreachable(upstream.name());
    }

    /** Gives up the connections of the upstream, and asks on a new one whether its host is there. */
    private Future<Boolean> judge(VirtualMachine upstream) {
        runtime.upstreams().renewConnections(upstream.name());
        return runtime.health().judge(upstream).onSuccess(alive -> {
            if (!alive) {
                runtime.parts().feedback().unreachable(upstream.name());
            }
        });
    }
}
