package org.baobabcart.router.gateway;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.concurrent.ThreadLocalRandom;
import org.baobabcart.model.gateway.Route;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.request.KeyHash;
import org.baobabcart.model.request.PromptPart;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.Ran;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.attempt.AttemptLimit;
import org.baobabcart.policy.crash.RequestFingerprint;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.policy.version.PendingAttempt;
import org.baobabcart.policy.version.VersionOutcomeKey;
import org.baobabcart.router.attempt.AttemptHandler;
import org.baobabcart.router.attempt.AttemptLoop;
import org.baobabcart.router.attempt.RequestAttempts;
import org.baobabcart.router.exchange.CallerExchange;
import org.baobabcart.router.upstream.AttemptException;
import org.baobabcart.router.upstream.Pool;
import org.baobabcart.router.upstream.SlotRequest;
import org.baobabcart.router.upstream.UpstreamRequest;
import org.baobabcart.router.upstream.UpstreamResponse;
import org.baobabcart.router.view.TrafficView;

/**
 * Executes one opaque request, from its route match to the response. Confined to the event loop of the caller's connection.
 *
 * <p>The active route table is consulted when an attempt is queued and again right before its first byte is sent.
 */
final class GatewayRequestExecution implements AttemptHandler<Void> {
    /** Bounds what a single caller can make routers remember and report. */
    private static final int MAX_ATTRIBUTED_PARTS = 64;

    private static final int MIN_SUCCESS_STATUS = 200;
    private static final int MIN_REDIRECT_STATUS = 300;
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    /** The balancer checks readiness once a second and stops using a router after two failed checks. */
    private static final Duration RETRY_AFTER_WHEN_CUT_OFF = Duration.ofMillis(2_500);
    /** Unreachable upstreams are probed twice a second. */
    private static final Duration RETRY_AFTER_PROBE = Duration.ofMillis(600);

    private final GatewayRuntime runtime;
    private final CallerExchange exchange;
    private final RequestHead head;
    private final Buffer body;
    private final long deadlineNanos;
    private final double serviceRandom = ThreadLocalRandom.current().nextDouble();
    private final double versionHash;
    private final EventRelay eventRelay;
    private final ModelSelection modelSelection;
    private final AttemptLoop<Void> loop;
    private RouteMatch match;
    private String service;
    private Optional<BufferedResponse> lastErrorResponse = Optional.empty();
    private Optional<PendingAttempt> pendingAttempt = Optional.empty();
    private Optional<RequestFingerprint> fingerprint = Optional.empty();

    private GatewayRequestExecution(
            GatewayRuntime runtime,
            CallerExchange exchange,
            RequestHead head,
            RouteMatch match,
            Buffer body,
            long deadlineNanos) {
        this.runtime = runtime;
        this.exchange = exchange;
        this.head = head;
        this.body = body;
        this.deadlineNanos = deadlineNanos;
        this.versionHash = SessionHash.of(head);
        this.eventRelay = EventRelay.create(exchange, head.resumeAfter());
        this.match = match;
        this.modelSelection = ModelSelection.create(runtime, exchange, head, match.route());
        this.loop = AttemptLoop.create(
                runtime.attempts(), exchange, this, match.route().retryPolicy());
        this.service = match.route().selectService(serviceRandom);
    }

    static GatewayRequestExecution create(
            GatewayRuntime runtime,
            CallerExchange exchange,
            RequestHead head,
            RouteMatch match,
            Buffer body,
            long deadlineNanos) {
        return new GatewayRequestExecution(runtime, exchange, head, match, body, deadlineNanos);
    }

    /** Starts the execution, which ends when the caller has a response or has disconnected. */
    void start() {
        exchange.startDeadline(deadlineNanos);
        runtime.retryBudgets().countRequest(service);
        loop.run().onComplete(ignored -> recordAttemptEnd()).onFailure(this::fail);
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
    public List<String> promptParts() {
        List<PromptPart> prefix = head.prefix();
        return prefix.stream()
                .limit(Math.min(MAX_ATTRIBUTED_PARTS, Math.max(0, prefix.size() - 1)))
                .map(PromptPart::id)
                .toList();
    }

    @Override
    public Optional<RequestFingerprint> fingerprint() {
        if (fingerprint.isEmpty()) {
            // In ISO 8859-1, bodies that are no UTF-8 stay different.
            String content = body.toString(StandardCharsets.ISO_8859_1);
            String request = String.join(
                    "\n", match.workspace(), head.host(), head.method().name(), head.target(), content);
            fingerprint = Optional.of(new RequestFingerprint(KeyHash.of(request), promptParts()));
        }
        return fingerprint;
    }

    @Override
    public SlotRequest slotRequest(RequestAttempts attempts) {
        recordAttemptEnd();
        TrafficView view = runtime.attempts().views().current();
        refreshMatch(view);
        Pool pool = VersionPoolSelector.of(view, runtime, service, versionHash);
        List<VirtualMachine> members = runtime.attempts().dispatcher().membersOf(view, pool);
        if (!runtime.reachability().mayServe(members)) {
            throw BaobabcartException.of(ResultCode.UPSTREAM_UNREACHABLE).withRetryAfter(retryAfter(view));
        }
        Route route = match.route();
        long targetNanos = exchange.startNanos() + route.latencyTarget().toNanos();
        return new SlotRequest(
                head.id(),
                pool,
                match.rank(),
                match.workspace(),
                1,
                attempts.history().sent() == 0 ? targetNanos : deadlineNanos,
                deadlineNanos,
                deadlineNanos,
                head.tokens().maxOutput(),
                route.prefixAffinity() ? head.affinity() : "",
                attempts.failedUpstreams(),
                modelSelection.cachedPrefixGainNanos());
    }

    /** Applies the active route table, which may have changed while the request waited. */
    private void refreshMatch(TrafficView view) {
        match = match.refreshed(view, head);
        if (!match.route().allows(service)) {
            service = match.route().selectService(serviceRandom);
        }
        modelSelection.updateRoute(match.route());
    }

    /**
     * Returns when to retry while all upstreams are unreachable: after the next probe, or, if this router is cut off, once the
     * balancer sends requests to another router.
     */
    private Duration retryAfter(TrafficView view) {
        return runtime.reachability().isCutOff(view) ? RETRY_AFTER_WHEN_CUT_OFF : RETRY_AFTER_PROBE;
    }

    @Override
    public UpstreamRequest request(VirtualMachine upstream, long waitedNanos) {
        runtime.requestMetrics().recordWait(match.rank(), waitedNanos);
        Duration timeLeft = Duration.ofNanos(Math.max(1, deadlineNanos - System.nanoTime()));
        AttemptMetadata attempt = new AttemptMetadata(
                upstream.name(),
                timeLeft,
                match.holder().map(holder -> holder.workspace()),
                modelSelection.current(),
                match.rank(),
                eventRelay.resumeAfter());
        return new UpstreamRequest(
                head.id(),
                true,
                match.route().retryPolicy().repeatable(),
                head.method(),
                head.target(),
                runtime.codec().attemptHeaders(head, attempt),
                body,
                timeouts(timeLeft),
                this::mayBeReplaced);
    }

    private UpstreamRequest.ProgressTimeouts timeouts(Duration timeLeft) {
        UpstreamRequest.ProgressTimeouts timeouts =
                AttemptTimeouts.of(match.route(), timeLeft, modelSelection.pressure());
        OptionalDouble replaceAfter = modelSelection.replaceAfterNanos();
        return mayBeReplaced() && replaceAfter.isPresent()
                ? timeouts.replacedAfter(Duration.ofNanos((long) replaceAfter.getAsDouble()))
                : timeouts;
    }

    /**
     * Returns whether another attempt could replace the running one. The last possible attempt is not ended for lack of progress,
     * since a stalled response may still continue.
     */
    private boolean mayBeReplaced() {
        return match.route().retryPolicy().repeatable()
                && eventRelay.isResumable()
                && hasAttemptsLeft(loop.attempts())
                && runtime.retryBudgets().hasRetryLeft(service);
    }

    @Override
    public void check(TrafficView view, VirtualMachine upstream) {
        RouteMatch newMatch = match.refreshed(view, head);
        if (!newMatch.route().allows(service)) {
            throw AttemptException.of(
                    FailureKind.NOT_SENT, upstream.name(), "the route no longer leads to this service");
        }
        if (VersionPoolSelector.isWithdrawn(view, upstream)) {
            throw AttemptException.of(FailureKind.NOT_SENT, upstream.name(), "the upstream's version is withdrawn");
        }
        pendingAttempt = Optional.of(runtime.outcomeRecorder().recordSent(outcomeKey(upstream), System.nanoTime()));
    }

    @Override
    public void notRun() {
        pendingAttempt.ifPresent(runtime.outcomeRecorder()::recordNotRun);
    }

    /** Records that the last attempt has ended without a response; does nothing if its response has started. */
    private void recordAttemptEnd() {
        pendingAttempt.ifPresent(attempt -> runtime.outcomeRecorder().recordEnd(attempt, System.nanoTime()));
        pendingAttempt = Optional.empty();
    }

    /** Records the time to first byte, which is used to compare versions and to measure load. */
    @Override
    public void responseStarted(VirtualMachine upstream, long nanos) {
        pendingAttempt.ifPresent(attempt -> runtime.outcomeRecorder().recordStart(attempt, System.nanoTime()));
        runtime.requestMetrics().recordAttempt(service, "answered", nanos);
        modelSelection.recordFirstByte(nanos);
    }

    @Override
    public Future<Void> consume(VirtualMachine upstream, UpstreamResponse upstreamResponse) {
        int status = upstreamResponse.status();
        boolean success = status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS;
        if (success && !runtime.codec().isAuthentic(status, upstreamResponse.headers())) {
            return fail(upstreamResponse, FailureKind.INCOMPLETE, "the response has no proof of origin");
        }
        MultiMap headers = runtime.codec().responseHeaders(upstreamResponse.headers());
        if (success && escalate(upstreamResponse)) {
            return fail(upstreamResponse, FailureKind.ESCALATED, "escalated to a larger model");
        }
        if (success && match.route().retryPolicy().streamed()) {
            return eventRelay.relayAll(upstreamResponse, headers);
        }
        if (exchange.responseStarted()) {
            return fail(
                    upstreamResponse, FailureKind.FAILED, "status " + status + " instead of the rest of the stream");
        }
        return ResponseRelay.create(runtime, exchange, upstreamResponse, headers)
                .relay()
                .compose(response -> response.isEmpty()
                        ? Future.succeededFuture()
                        : deliver(upstream, new BufferedResponse(status, headers, response.get())));
    }

    /**
     * Returns whether to discard a smaller model's response and ask the largest model instead, which is possible only before any part
     * of the response was relayed. If so, selects the largest model and takes a retry from the budget.
     */
    private boolean escalate(UpstreamResponse upstreamResponse) {
        OptionalInt confidence = runtime.codec().confidence(upstreamResponse.headers());
        boolean isPossible = confidence.isPresent()
                && modelSelection.hasLargerModel()
                && match.route().retryPolicy().repeatable()
                && !exchange.responseStarted()
                && eventRelay.resumeAfter().isEmpty()
                && hasAttemptsLeft(loop.attempts());
        boolean escalated = isPossible
                && modelSelection.shouldEscalate(confidence.getAsInt(), match.rank())
                && runtime.retryBudgets().tryTakeRetry(service);
        if (escalated) {
            modelSelection.selectLargest();
        }
        return escalated;
    }

    private static Future<Void> fail(UpstreamResponse upstreamResponse, FailureKind kind, String detail) {
        AttemptException failure = AttemptException.of(kind, upstreamResponse.upstream(), detail);
        upstreamResponse.fail(failure);
        return Future.failedFuture(failure);
    }

    private Future<Void> deliver(VirtualMachine upstream, BufferedResponse response) {
        boolean failure = response.status() >= MIN_SERVER_ERROR_STATUS;
        if (failure) {
            runtime.outcomeRecorder().recordFailure(outcomeKey(upstream));
        }
        if (failure && match.route().retryPolicy().repeatable() && hasAttemptsLeft(loop.attempts())) {
            lastErrorResponse = Optional.of(response);
            return Future.failedFuture(
                    AttemptException.of(FailureKind.FAILED, upstream.name(), "status " + response.status()));
        }
        exchange.respond(response.status(), response.headers(), response.body());
        return Future.succeededFuture();
    }

    private boolean hasAttemptsLeft(RequestAttempts attempts) {
        return new AttemptLimit(match.route().maxAttempts()).allowsAnother(attempts.tried(), attempts.history());
    }

    private VersionOutcomeKey outcomeKey(VirtualMachine upstream) {
        String requestClass = match.route().name()
                + modelSelection.current().map(chosen -> " " + chosen).orElse("");
        return new VersionOutcomeKey(service, upstream.version(), requestClass);
    }

    @Override
    public void succeeded(VirtualMachine upstream) {
        runtime.outcomeRecorder().recordAnswer(outcomeKey(upstream));
    }

    /**
     * Counts failures that indicate a bad version. Broken connections are not counted, since failing machines and links
     * break them whatever the version.
     */
    @Override
    public void failed(VirtualMachine upstream, FailureKind kind, long nanos) {
        runtime.requestMetrics().recordAttempt(service, kind.name().toLowerCase(Locale.ROOT), nanos);
        boolean indicatesBadVersion =
                kind == FailureKind.SILENT || kind == FailureKind.INCOMPLETE || kind == FailureKind.CROSSED;
        if (indicatesBadVersion) {
            runtime.outcomeRecorder().recordFailure(outcomeKey(upstream));
        }
    }

    @Override
    public boolean mayRetry(AttemptException failure, RequestAttempts attempts) {
        boolean notSent = failure.kind() == FailureKind.NOT_CONNECTED || failure.kind() == FailureKind.NOT_SENT;
        return eventRelay.isResumable()
                && hasAttemptsLeft(attempts)
                && (notSent || runtime.retryBudgets().tryTakeRetry(service));
    }

    private void fail(Throwable cause) {
        if (exchange.isEnded()) {
            return;
        }
        if (lastErrorResponse.isPresent() && !exchange.responseStarted()) {
            exchange.respond(
                    lastErrorResponse.get().status(),
                    lastErrorResponse.get().headers(),
                    lastErrorResponse.get().body());
            return;
        }
        BaobabcartException failure = cause instanceof BaobabcartException known
                ? known
                : BaobabcartException.of(ResultCode.INTERNAL).withCause(cause);
        exchange.fail(withAccurateRan(failure));
    }

    /** Returns the failure with a result code that does not claim that the request did not run unless this is certain. */
    private BaobabcartException withAccurateRan(BaobabcartException failure) {
        if (loop.attempts().history().mayReportNotRun()) {
            return failure.withRan(Ran.NO);
        }
        boolean claimsNotRun = failure.code().ran() == Ran.NO;
        return claimsNotRun && failure.code() != ResultCode.REQUEST_QUARANTINED
                ? BaobabcartException.of(ResultCode.UPSTREAM_FAILED).withCause(failure)
                : failure.withRan(Ran.UNKNOWN);
    }
}
