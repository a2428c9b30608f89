package org.baobabcart.router.traffic;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.baobabcart.model.gateway.RetryPolicy;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.Ran;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.crash.RequestFingerprint;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.policy.version.VersionPolicy;
import org.baobabcart.router.attempt.AttemptHandler;
import org.baobabcart.router.attempt.AttemptLoop;
import org.baobabcart.router.attempt.RequestAttempts;
import org.baobabcart.router.exchange.CallerExchange;
import org.baobabcart.router.upstream.AttemptException;
import org.baobabcart.router.upstream.SlotRequest;
import org.baobabcart.router.upstream.UpstreamRequest;
import org.baobabcart.router.upstream.UpstreamResponse;
import org.baobabcart.router.view.TrafficView;

/**
 * Makes the attempts of one step as described by its plan. Confined to the event loop of the caller's connection.
 *
 * @param <T> the type that responses are converted to
 */
final class PlannedAttemptHandler<T> implements AttemptHandler<T> {
    private final TrafficRuntime runtime;
    private final CallerExchange exchange;
    private final CallerContext context;
    private final AttemptPlan plan;
    private final Function<UpstreamResponse, Future<T>> consumer;
    private final Future<AttemptException> abandoned;
    private final boolean firstStep;

    private PlannedAttemptHandler(
            TrafficRuntime runtime,
            CallerExchange exchange,
            CallerContext context,
            AttemptPlan plan,
            Function<UpstreamResponse, Future<T>> consumer) {
        this.runtime = runtime;
        this.exchange = exchange;
        this.context = context;
        this.plan = plan;
        this.consumer = consumer;
        // A request that must not be repeated runs to its end, so that its outcome is known when the caller sends it
        // again.
        this.abandoned = plan.repeatable()
                ? exchange.abandoned()
                : Promise.<AttemptException>promise().future();
        this.firstStep = !exchange.mayHaveRun();
    }

    /**
     * Runs the attempts; returns the result of the first that succeeds, or fails with a {@link BaobabcartException}.
     */
    static <T> Future<T> run(
            TrafficRuntime runtime,
            CallerExchange exchange,
            CallerContext context,
            AttemptPlan plan,
            Function<UpstreamResponse, Future<T>> consumer) {
        runtime.guards().retries().recordFirstAttempt();
        PlannedAttemptHandler<T> attempts = new PlannedAttemptHandler<>(runtime, exchange, context, plan, consumer);
        RetryPolicy repeat = plan.repeatable() ? RetryPolicy.REPEATABLE : RetryPolicy.ONCE;
        return AttemptLoop.create(runtime.attempts(), exchange, attempts, repeat)
                .run();
    }

    @Override
    public long deadlineNanos() {
        return context.deadlineNanos();
    }

    @Override
    public Future<AttemptException> abandoned() {
        return abandoned;
    }

    @Override
    public Optional<RequestFingerprint> fingerprint() {
        return plan.fingerprint();
    }

    @Override
    public boolean isFingerprintDistinctive() {
        return true;
    }

    @Override
    public List<String> promptParts() {
        return plan.fingerprint().map(RequestFingerprint::parts).orElse(List.of());
    }

    @Override
    public SlotRequest slotRequest(RequestAttempts soFar) {
        boolean first = soFar.tried() == 0 && firstStep;
        return new SlotRequest(
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
                soFar.failedUpstreams(),
                SlotRequest.UNKNOWN_GAIN);
    }

    @Override
    public UpstreamRequest request(VirtualMachine upstream, long waitedNanos) {
        return plan.request().apply(plan.attemptIds().get());
    }

    @Override
    public void check(TrafficView view, VirtualMachine upstream) {
        String model = plan.pool().model();
        String version = plan.pool().version();
        boolean withdrawn = view.sheet()
                .filter(published ->
                        VersionPolicy.of(published.sheet(), view.rollOuts()).isWithdrawn(model, version))
                .isPresent();
        if (withdrawn) {
            throw BaobabcartException.of(ResultCode.VERSION_WITHDRAWN);
        }
        plan.gate().pass();
    }

    @Override
    public void notRun() {
        plan.gate().notRun();
    }

    @Override
    public Future<T> consume(VirtualMachine upstream, UpstreamResponse response) {
        return consumer.apply(response);
    }

    @Override
    public void failed(VirtualMachine upstream, FailureKind kind, long nanos) {
        if (kind.ran() == Ran.UNKNOWN && !plan.pool().model().isEmpty()) {
            runtime.guards()
                    .versionOutcomes()
                    .attemptFailed(plan.pool().model(), plan.pool().version());
        }
    }

    @Override
    public void probed(VirtualMachine upstream, boolean alive) {
        if (!alive) {
            runtime.dependencies().feedback().unreachable(upstream.name());
        }
    }

    @Override
    public boolean mayRetry(AttemptException failure, RequestAttempts soFar) {
        return !exchange.responseStarted()
                && runtime.guards().retries().mayRetry(failure.kind(), plan.repeatable(), soFar.tried());
    }
}
