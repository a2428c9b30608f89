package org.baobabcart.router.gateway;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.baobabcart.model.gateway.ModelSize;
import org.baobabcart.model.gateway.Route;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.Ran;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.attempt.AttemptLedger;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.policy.version.VersionOutcomeKey;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.upstream.AttemptException;
import org.baobabcart.router.upstream.Pool;
import org.baobabcart.router.upstream.Slot;
import org.baobabcart.router.upstream.UpstreamAnswer;
import org.baobabcart.router.upstream.UpstreamRequest;
import org.baobabcart.router.upstream.Work;
import org.baobabcart.router.view.TrafficView;

/**
 * The attempts of one opaque request, one after the other. Confined to the event loop of the caller's connection.
 *
 * <p>What may follow a failed attempt is decided by the {@link AttemptLedger}, the route and the retry budget. The table in
 * force is looked up when an attempt is queued and again right before its first byte leaves.
 */
final class GatewayRun {
    private static final int STATUS_SUCCESS = 200;
    private static final int STATUS_AFTER_SUCCESS = 300;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final double NANOS_PER_MILLI = 1e6;
    /** The balancer asks once a second and leaves a router out after two questions without a good answer. */
    private static final Duration BALANCER_TURNS_ELSEWHERE = Duration.ofMillis(2_500);
    /** Upstreams out of reach are asked twice a second. */
    private static final Duration NEXT_PROBE = Duration.ofMillis(600);

    private final GatewayRuntime runtime;
    private final GatewayExchange exchange;
    private final RequestHead head;
    private final Buffer body;
    private final long deadlineNanos;
    private final double servicePoint = ThreadLocalRandom.current().nextDouble();
    private final double versionPoint;
    private final EventRelay events;
    private final ModelSteps models;
    private final Set<String> failedUpstreams = new HashSet<>();
    private Admission admission;
    private AttemptLedger ledger;
    private String service;
    private Optional<KeptFailure> kept = Optional.empty();
    private int attempts;

    private GatewayRun(
            GatewayRuntime runtime,
            GatewayExchange exchange,
            RequestHead head,
            Admission admission,
            Buffer body,
            long deadlineNanos) {
        this.runtime = runtime;
        this.exchange = exchange;
        this.head = head;
        this.body = body;
        this.deadlineNanos = deadlineNanos;
        this.versionPoint = SessionPoint.of(head);
        this.events = EventRelay.create(exchange, head.resumeAfter());
        this.admission = admission;
        this.models = ModelSteps.create(runtime, exchange, head, admission.route());
        this.ledger = AttemptLedger.of(admission.route().repeat());
        this.service = admission.route().serviceAt(servicePoint);
    }

    static GatewayRun create(
            GatewayRuntime runtime,
            GatewayExchange exchange,
            RequestHead head,
            Admission admission,
            Buffer body,
            long deadlineNanos) {
        return new GatewayRun(runtime, exchange, head, admission, body, deadlineNanos);
    }

    /** Runs until the caller has an answer or is gone. */
    void start() {
        exchange.startDeadline(deadlineNanos, this::deadlineRefusal);
        runtime.retries().firstTry(service);
        attempt();
    }

    private BaobabcartException deadlineRefusal() {
        return statement(ledger.mayHaveRun() ? ResultCode.UPSTREAM_TIMEOUT : ResultCode.DEADLINE_UNREACHABLE);
    }

    /** A failure whose status and text say no more than what is known. */
    private BaobabcartException statement(ResultCode code) {
        return truthful(BaobabcartException.of(code));
    }

    private BaobabcartException truthful(BaobabcartException failure) {
        if (ledger.mayStateNotRun()) {
            return failure.withRan(Ran.NO);
        }
        boolean promises = failure.code().ran() == Ran.NO;
        return promises
                ? BaobabcartException.of(ResultCode.UPSTREAM_FAILED).withCause(failure)
                : failure.withRan(Ran.UNKNOWN);
    }

    private void attempt() {
        if (exchange.isEnded()) {
            return;
        }
        TrafficView view = runtime.views().current();
        try {
            admit(view);
        } catch (BaobabcartException refusal) {
            giveUp(refusal);
            return;
        }
        Pool pool = ServicePool.of(view, runtime, service, versionPoint);
        if (!runtime.reach().mayServe(view, pool)) {
            giveUp(BaobabcartException.of(ResultCode.UPSTREAM_UNREACHABLE).withRetryAfter(returnAfter(view)));
            return;
        }
        runtime.dispatcher()
                .acquire(work(pool), exchange.abandoned())
                .onSuccess(this::send)
                .onFailure(this::giveUp);
    }

    /** When to come back to upstreams that are out of reach: here, or at a router to which the balancer turns by then. */
    private Duration returnAfter(TrafficView view) {
        return runtime.reach().isCutOff(view) ? BALANCER_TURNS_ELSEWHERE : NEXT_PROBE;
    }

    /** Takes over the table in force, which may have changed while the request waited. */
    private void admit(TrafficView view) {
        admission = Admission.of(view, head);
        if (!admission.route().allows(service)) {
            service = admission.route().serviceAt(servicePoint);
        }
        models.follow(admission.route());
    }

    private Work work(Pool pool) {
        Route route = admission.route();
        long targetNanos = exchange.begunNanos() + route.target().toNanos();
        return new Work(
                head.id(),
                pool,
                admission.rank(),
                admission.workspace(),
                1,
                attempts == 0 ? targetNanos : deadlineNanos,
                deadlineNanos,
                deadlineNanos,
                head.tokens().mostOutput(),
                route.prefixAffinity() ? head.affinity() : "",
                failedUpstreams);
    }

    private void send(Slot slot) {
        if (exchange.isEnded()) {
            slot.release(Optional.empty());
            return;
        }
        long begun = System.nanoTime();
        VirtualMachine upstream = slot.upstream();
        runtime.upstreams()
                .send(upstream, request(upstream), () -> passGate(upstream), exchange.abandoned())
                .compose(answer -> {
                    slot.observe(System.nanoTime() - begun, Optional.empty());
                    noteBeginning(upstream, System.nanoTime() - begun);
                    return consume(upstream, answer);
                })
                .onSuccess(ignored -> {
                    slot.finished(System.nanoTime() - begun);
                    slot.release(Optional.empty());
                    runtime.evidence().answered(outcomeKey(upstream));
                })
                .onFailure(failure -> failed(slot, failure));
    }

    private UpstreamRequest request(VirtualMachine upstream) {
        Duration timeLeft = Duration.ofNanos(Math.max(1, deadlineNanos - System.nanoTime()));
        AttemptHead attempt = new AttemptHead(
                upstream.name(),
                timeLeft,
                admission.holder().map(holder -> holder.workspace()),
                models.current().map(ModelSize::name),
                admission.rank(),
                events.resumeAfter());
        return new UpstreamRequest(
                head.id(),
                true,
                admission.route().repeat().repeatable(),
                head.method(),
                head.target(),
                runtime.codec().attemptHeaders(head, attempt),
                body,
                AttemptTimes.of(admission.route(), timeLeft, models.pressure()));
    }

    /** The last check before the first byte; throws where nothing may be sent. */
    private void passGate(VirtualMachine upstream) {
        if (exchange.isEnded() || deadlineNanos - System.nanoTime() <= 0) {
            throw AttemptException.of(FailureKind.DEADLINE, upstream.name(), "nobody waits any more");
        }
        TrafficView view = runtime.views().current();
        if (!view.upstreams().contains(upstream)) {
            throw AttemptException.of(FailureKind.NOT_RUN, upstream.name(), "leaving");
        }
        Admission now = Admission.of(view, head);
        if (!now.route().allows(service)) {
            throw AttemptException.of(FailureKind.NOT_RUN, upstream.name(), "the route has moved to another service");
        }
        if (ServicePool.isWithdrawn(view, upstream)) {
            throw AttemptException.of(FailureKind.NOT_RUN, upstream.name(), "its version is withdrawn");
        }
        ledger = ledger.withSend();
        attempts++;
        exchange.record(EventType.REQUEST_DISPATCHED, upstream.name());
    }

    /** Keeps the time to the beginning of an answer, by which versions are compared and load is seen. */
    private void noteBeginning(VirtualMachine upstream, long nanos) {
        runtime.evidence().timed(outcomeKey(upstream), nanos / NANOS_PER_MILLI);
        models.noteBeginning(nanos);
    }

    private Future<Void> consume(VirtualMachine upstream, UpstreamAnswer answer) {
        int status = answer.status();
        boolean success = status >= STATUS_SUCCESS && status < STATUS_AFTER_SUCCESS;
        if (success && !runtime.codec().isAuthentic(status, answer.headers())) {
            return fail(answer, FailureKind.INCOMPLETE, "no proof of origin");
        }
        MultiMap headers = runtime.codec().answerHeaders(answer.headers());
        if (success && isEscalated(answer)) {
            return fail(answer, FailureKind.ESCALATED, "a larger model is asked");
        }
        if (success && admission.route().repeat().streamed()) {
            return events.run(answer, headers);
        }
        if (exchange.started()) {
            return fail(answer, FailureKind.FAILED, "status " + status + " in place of the rest of a stream");
        }
        return AnswerRelay.create(runtime, exchange, answer, headers)
                .run()
                .compose(whole -> whole.isEmpty()
                        ? Future.succeededFuture()
                        : deliver(upstream, new KeptFailure(status, headers, whole.get())));
    }

    /** Whether the answer of a smaller model is dropped for one of the largest, before any of it was passed on. */
    private boolean isEscalated(UpstreamAnswer answer) {
        OptionalInt confidence = runtime.codec().confidence(answer.headers());
        boolean possible = confidence.isPresent()
                && models.hasLarger()
                && admission.route().repeat().repeatable()
                && !exchange.started()
                && events.resumeAfter().isEmpty()
                && mayFollow();
        boolean escalated = possible
                && models.isLargerWorthIt(confidence.getAsInt())
                && runtime.retries().tryRetry(service);
        if (escalated) {
            models.takeLargest();
        }
        return escalated;
    }

    private static Future<Void> fail(UpstreamAnswer answer, FailureKind kind, String detail) {
        AttemptException failure = AttemptException.of(kind, answer.upstream(), detail);
        answer.fail(failure);
        return Future.failedFuture(failure);
    }

    private Future<Void> deliver(VirtualMachine upstream, KeptFailure whole) {
        boolean failure = whole.status() >= STATUS_SERVER_ERROR;
        if (failure) {
            runtime.evidence().failed(outcomeKey(upstream));
        }
        if (failure && admission.route().repeat().repeatable() && mayFollow()) {
            kept = Optional.of(whole);
            return Future.failedFuture(
                    AttemptException.of(FailureKind.FAILED, upstream.name(), "status " + whole.status()));
        }
        exchange.answer(whole.status(), whole.headers(), whole.body());
        return Future.succeededFuture();
    }

    private boolean mayFollow() {
        return attempts < admission.route().mostAttempts();
    }

    private VersionOutcomeKey outcomeKey(VirtualMachine upstream) {
        String work = admission.route().name()
                + models.current().map(chosen -> " " + chosen.name()).orElse("");
        return new VersionOutcomeKey(service, upstream.version(), work);
    }

    private void failed(Slot slot, Throwable cause) {
        VirtualMachine upstream = slot.upstream();
        if (!(cause instanceof AttemptException failure)) {
            slot.release(Optional.empty());
            giveUp(cause);
            return;
        }
        if (exchange.isEnded()) {
            ledger = ledger.withEnd(failure.kind().ran());
            slot.release(Optional.empty());
            return;
        }
        ledger = ledger.withEnd(failure.kind().ran());
        if (failure.kind() == FailureKind.ESCALATED) {
            slot.release(Optional.empty());
            attempt();
            return;
        }
        slot.release(Optional.of(failure.kind()));
        failedUpstreams.add(upstream.name());
        exchange.record(EventType.REQUEST_RETRIED, failure.getMessage());
        conclude(upstream, failure.kind());
        if (mayRetry(failure)) {
            attempt();
        } else {
            giveUp(failure);
        }
    }

    private boolean mayRetry(AttemptException failure) {
        if (failure.kind() == FailureKind.DEADLINE || !ledger.maySend() || !mayFollow()) {
            return false;
        }
        boolean neverSent = failure.kind() == FailureKind.NOT_CONNECTED;
        return neverSent || runtime.retries().tryRetry(service);
    }

    private void conclude(VirtualMachine upstream, FailureKind kind) {
        switch (kind) {
            case NOT_CONNECTED -> runtime.health().markDown(upstream);
            case NOT_RUN -> runtime.health().markResting(upstream);
            // Connections break with hosts and links; that says nothing of the version that runs there.
            case SILENT, BROKEN -> {
                if (kind == FailureKind.SILENT) {
                    runtime.evidence().failed(outcomeKey(upstream));
                }
                runtime.upstreams().renewConnections(upstream.name());
                runtime.health().judge(upstream);
            }
            case INCOMPLETE, CROSSED -> runtime.evidence().failed(outcomeKey(upstream));
            default -> {}
        }
    }

    private void giveUp(Throwable cause) {
        if (exchange.isEnded()) {
            return;
        }
        if (kept.isPresent() && !exchange.started()) {
            exchange.answer(
                    kept.get().status(), kept.get().headers(), kept.get().body());
            return;
        }
        exchange.refuse(truthful(result(cause)));
    }

    private static BaobabcartException result(Throwable cause) {
        if (cause instanceof BaobabcartException exception) {
            return exception;
        }
        if (cause instanceof AttemptException attempt) {
            return attempt.toResult();
        }
        return BaobabcartException.of(ResultCode.INTERNAL).withCause(cause);
    }
}
