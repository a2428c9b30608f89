package org.baobabcart.router.gateway;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.ThreadLocalRandom;
import org.baobabcart.model.gateway.Route;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.Ran;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.policy.version.PendingAttempt;
import org.baobabcart.policy.version.VersionOutcomeKey;
import org.baobabcart.router.attempt.AttemptHandler;
import org.baobabcart.router.attempt.AttemptLoop;
import org.baobabcart.router.attempt.RequestAttempts;
import org.baobabcart.router.exchange.CallerExchange;
import org.baobabcart.router.upstream.AttemptException;
import org.baobabcart.router.upstream.Pool;
import org.baobabcart.router.upstream.UpstreamRequest;
import org.baobabcart.router.upstream.UpstreamResponse;
import org.baobabcart.router.upstream.Work;
import org.baobabcart.router.view.TrafficView;

/**
 * One opaque request from its admission to its answer. Confined to the event loop of the caller's connection.
 *
 * <p>The table in force is looked up when an attempt is queued and again right before its first byte leaves.
 */
final class GatewayRequestExecution implements AttemptHandler<Void> {
    private static final int STATUS_SUCCESS = 200;
    private static final int STATUS_AFTER_SUCCESS = 300;
    private static final int STATUS_SERVER_ERROR = 500;
    /** The balancer asks once a second and leaves a router out after two questions without a good answer. */
    private static final Duration BALANCER_TURNS_ELSEWHERE = Duration.ofMillis(2_500);
    /** Upstreams out of reach are asked twice a second. */
    private static final Duration NEXT_PROBE = Duration.ofMillis(600);

    private final GatewayRuntime runtime;
    private final CallerExchange exchange;
    private final RequestHead head;
    private final Buffer body;
    private final long deadlineNanos;
    private final double servicePoint = ThreadLocalRandom.current().nextDouble();
    private final double versionPoint;
    private final EventRelay events;
    private final ModelSelection models;
    private final AttemptLoop<Void> loop;
    private RouteMatch admission;
    private String service;
    private Optional<BufferedResponse> kept = Optional.empty();
    private Optional<PendingAttempt> open = Optional.empty();

    private GatewayRequestExecution(
            GatewayRuntime runtime,
            CallerExchange exchange,
            RequestHead head,
            RouteMatch admission,
            Buffer body,
            long deadlineNanos) {
        this.runtime = runtime;
        this.exchange = exchange;
        this.head = head;
        this.body = body;
        this.deadlineNanos = deadlineNanos;
        this.versionPoint = SessionHash.of(head);
        this.events = EventRelay.create(exchange, head.resumeAfter());
        this.admission = admission;
        this.models = ModelSelection.create(runtime, exchange, head, admission.route());
        this.loop = AttemptLoop.create(
                runtime.attempts(), exchange, this, admission.route().repeat());
        this.service = admission.route().serviceAt(servicePoint);
    }

    static GatewayRequestExecution create(
            GatewayRuntime runtime,
            CallerExchange exchange,
            RequestHead head,
            RouteMatch admission,
            Buffer body,
            long deadlineNanos) {
        return new GatewayRequestExecution(runtime, exchange, head, admission, body, deadlineNanos);
    }

    /** Runs until the caller has an answer or is gone. */
    void start() {
        exchange.startDeadline(deadlineNanos);
        runtime.retries().firstTry(service);
        loop.run().onComplete(ignored -> endAttempt()).onFailure(this::giveUp);
    }

    @Override
    public long deadlineNanos() {
        return deadlineNanos;
    }

    @Override
    public Future<AttemptException> abandoned() {
        return exchange.abandoned();
    }

    @Override
    public Work work(RequestAttempts soFar) {
        endAttempt();
        TrafficView view = runtime.attempts().views().current();
        admit(view);
        Pool pool = VersionPoolSelector.of(view, runtime, service, versionPoint);
        List<VirtualMachine> members = runtime.attempts().dispatcher().membersOf(view, pool);
        if (!runtime.reach().mayServe(members)) {
            throw BaobabcartException.of(ResultCode.UPSTREAM_UNREACHABLE).withRetryAfter(returnAfter(view));
        }
        Route route = admission.route();
        long targetNanos = exchange.begunNanos() + route.target().toNanos();
        return new Work(
                head.id(),
                pool,
                admission.rank(),
                admission.workspace(),
                1,
                soFar.ledger().sent() == 0 ? targetNanos : deadlineNanos,
                deadlineNanos,
                deadlineNanos,
                head.tokens().mostOutput(),
                route.prefixAffinity() ? head.affinity() : "",
                soFar.failedUpstreams());
    }

    /** Takes over the table in force, which may have changed while the request waited. */
    private void admit(TrafficView view) {
        admission = admission.under(view, head);
        if (!admission.route().allows(service)) {
            service = admission.route().serviceAt(servicePoint);
        }
        models.follow(admission.route());
    }

    /** When to come back to upstreams that are out of reach: here, or at a router to which the balancer turns by then. */
    private Duration returnAfter(TrafficView view) {
        return runtime.reach().isCutOff(view) ? BALANCER_TURNS_ELSEWHERE : NEXT_PROBE;
    }

    @Override
    public UpstreamRequest request(VirtualMachine upstream, long waitedNanos) {
        runtime.requests().waited(admission.rank(), waitedNanos);
        Duration timeLeft = Duration.ofNanos(Math.max(1, deadlineNanos - System.nanoTime()));
        AttemptMetadata attempt = new AttemptMetadata(
                upstream.name(),
                timeLeft,
                admission.holder().map(holder -> holder.workspace()),
                models.current(),
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
                AttemptTimeouts.of(admission.route(), timeLeft, models.pressure()),
                this::isReplaceable);
    }

    /** Whether the attempt that runs could be followed by another; an answer that stands still may go on, one that is ended does not. */
    private boolean isReplaceable() {
        return admission.route().repeat().repeatable()
                && mayFollow(loop.attempts())
                && runtime.retries().hasLeft(service);
    }

    @Override
    public void check(TrafficView view, VirtualMachine upstream) {
        RouteMatch now = admission.under(view, head);
        if (!now.route().allows(service)) {
            throw AttemptException.of(FailureKind.NOT_RUN, upstream.name(), "the route has moved to another service");
        }
        if (VersionPoolSelector.isWithdrawn(view, upstream)) {
            throw AttemptException.of(FailureKind.NOT_RUN, upstream.name(), "its version is withdrawn");
        }
        open = Optional.of(runtime.evidence().recordSent(outcomeKey(upstream), System.nanoTime()));
    }

    @Override
    public void notRun() {
        open.ifPresent(runtime.evidence()::recordNotRun);
    }

    /** Takes note that no answer to the last attempt will begin any more; nothing changes where one has. */
    private void endAttempt() {
        open.ifPresent(attempt -> runtime.evidence().recordEnd(attempt, System.nanoTime()));
        open = Optional.empty();
    }

    /** Keeps the time to the beginning of an answer, by which versions are compared and load is seen. */
    @Override
    public void answerBegan(VirtualMachine upstream, long nanos) {
        open.ifPresent(attempt -> runtime.evidence().recordStart(attempt, System.nanoTime()));
        runtime.requests().attempted(service, "answered", nanos);
        models.noteBeginning(nanos);
    }

    @Override
    public Future<Void> consume(VirtualMachine upstream, UpstreamResponse answer) {
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
        return ResponseRelay.create(runtime, exchange, answer, headers)
                .run()
                .compose(whole -> whole.isEmpty()
                        ? Future.succeededFuture()
                        : deliver(upstream, new BufferedResponse(status, headers, whole.get())));
    }

    /** Whether the answer of a smaller model is dropped for one of the largest, before any of it was passed on. */
    private boolean isEscalated(UpstreamResponse answer) {
        OptionalInt confidence = runtime.codec().confidence(answer.headers());
        boolean possible = confidence.isPresent()
                && models.hasLarger()
                && admission.route().repeat().repeatable()
                && !exchange.started()
                && events.resumeAfter().isEmpty()
                && mayFollow(loop.attempts());
        boolean escalated = possible
                && models.isLargerWorthIt(confidence.getAsInt(), admission.rank())
                && runtime.retries().tryRetry(service);
        if (escalated) {
            models.takeLargest();
        }
        return escalated;
    }

    private static Future<Void> fail(UpstreamResponse answer, FailureKind kind, String detail) {
        AttemptException failure = AttemptException.of(kind, answer.upstream(), detail);
        answer.fail(failure);
        return Future.failedFuture(failure);
    }

    private Future<Void> deliver(VirtualMachine upstream, BufferedResponse whole) {
        boolean failure = whole.status() >= STATUS_SERVER_ERROR;
        if (failure) {
            runtime.evidence().recordFailure(outcomeKey(upstream));
        }
        if (failure && admission.route().repeat().repeatable() && mayFollow(loop.attempts())) {
            kept = Optional.of(whole);
            return Future.failedFuture(
                    AttemptException.of(FailureKind.FAILED, upstream.name(), "status " + whole.status()));
        }
        exchange.answer(whole.status(), whole.headers(), whole.body());
        return Future.succeededFuture();
    }

    private boolean mayFollow(RequestAttempts soFar) {
        return soFar.ledger().sent() < admission.route().mostAttempts();
    }

    private VersionOutcomeKey outcomeKey(VirtualMachine upstream) {
        String work = admission.route().name()
                + models.current().map(chosen -> " " + chosen).orElse("");
        return new VersionOutcomeKey(service, upstream.version(), work);
    }

    @Override
    public void succeeded(VirtualMachine upstream) {
        runtime.evidence().recordAnswer(outcomeKey(upstream));
    }

    /** Counts what speaks against a version; connections break with hosts and links, whatever the version. */
    @Override
    public void failed(VirtualMachine upstream, FailureKind kind, long nanos) {
        runtime.requests().attempted(service, kind.name().toLowerCase(Locale.ROOT), nanos);
        boolean ofVersion = kind == FailureKind.SILENT || kind == FailureKind.INCOMPLETE || kind == FailureKind.CROSSED;
        if (ofVersion) {
            runtime.evidence().recordFailure(outcomeKey(upstream));
        }
    }

    @Override
    public boolean mayRetry(AttemptException failure, RequestAttempts soFar) {
        boolean neverSent = failure.kind() == FailureKind.NOT_CONNECTED;
        return mayFollow(soFar) && (neverSent || runtime.retries().tryRetry(service));
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
        BaobabcartException failure = cause instanceof BaobabcartException known
                ? known
                : BaobabcartException.of(ResultCode.INTERNAL).withCause(cause);
        exchange.refuse(truthful(failure));
    }

    /** The failure with a status and text that say no more than what is known. */
    private BaobabcartException truthful(BaobabcartException failure) {
        if (loop.attempts().ledger().mayStateNotRun()) {
            return failure.withRan(Ran.NO);
        }
        boolean promises = failure.code().ran() == Ran.NO;
        return promises
                ? BaobabcartException.of(ResultCode.UPSTREAM_FAILED).withCause(failure)
                : failure.withRan(Ran.UNKNOWN);
    }
}
