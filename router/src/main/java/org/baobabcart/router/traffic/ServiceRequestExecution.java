package org.baobabcart.router.traffic;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.baobabcart.model.request.Bill;
import org.baobabcart.model.request.Headers;
import org.baobabcart.model.request.KeyHash;
import org.baobabcart.model.request.RequestIds;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.sheet.Service;
import org.baobabcart.model.sheet.ServiceCall;
import org.baobabcart.router.claim.ClaimCall;
import org.baobabcart.router.claim.ClaimDecision;
import org.baobabcart.router.claim.ClaimOutcome;
import org.baobabcart.router.claim.StoredReply;
import org.baobabcart.router.exchange.CallerExchange;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.upstream.Pool;
import org.baobabcart.router.upstream.UpstreamRequest;
import org.baobabcart.router.upstream.UpstreamResponse;

/**
 * Carries one call of a plain service. Confined to the event loop of the caller's connection.
 *
 * <p>A call that must not be repeated runs to its end even if the caller disconnects or the deadline passes, so that
 * its outcome is known when the caller repeats it with the same key.
 */
final class ServiceRequestExecution {
    private static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(5);
    private static final List<String> REQUEST_HEADERS =
            List.of("Content-Type", "Accept", "Accept-Language", "If-Match", "If-None-Match", Headers.IDEMPOTENCY_KEY);
    private static final Set<String> DROPPED_RESPONSE_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "transfer-encoding",
            "content-length",
            "te",
            "trailer",
            "upgrade",
            "proxy-authenticate",
            "proxy-authorization");
    private static final String ROUTER_HEADER_PREFIX = "baobabcart-";

    private final TrafficRuntime runtime;
    private final CallerExchange exchange;
    private final CallerContext context;
    private final Service service;
    private final ServicePath path;
    private final Buffer body;
    private final boolean repeatable;
    private final boolean keyRequired;

    private ServiceRequestExecution(
            TrafficRuntime runtime, CallerExchange exchange, CallerContext context, ServicePath path, Buffer body) {
        this.runtime = runtime;
        this.exchange = exchange;
        this.context = context;
        this.path = path;
        this.body = body;
        this.service = context.sheet()
                .service(path.service())
                .orElseThrow(() -> BaobabcartException.of(ResultCode.UNKNOWN_SERVICE));
        if (!context.workspace().services().contains(service.name())) {
            throw BaobabcartException.of(ResultCode.SERVICE_NOT_ALLOWED);
        }
        String method = exchange.request().method().name().toUpperCase(Locale.ROOT);
        Optional<ServiceCall> call = service.call(method, path.path());
        this.repeatable = call.map(ServiceCall::repeatable).orElse(true);
        this.keyRequired = call.map(ServiceCall::keyRequired).orElse(false);
    }

    /** Creates the execution of a call; throws if the call is refused. */
    static ServiceRequestExecution create(
            TrafficRuntime runtime, CallerExchange exchange, CallerContext context, ServicePath path, Buffer body) {
        return new ServiceRequestExecution(runtime, exchange, context, path, body);
    }

    /**
     * Completes when the response has been handed to the caller's connection; fails if the caller has to get an error.
     */
    Future<Void> run() {
        if (repeatable) {
            return send(RequestIds::next, DispatchGate.open()).compose(this::deliver);
        }
        if (context.idempotencyKey().isPresent()) {
            return claim(context.idempotencyKey().get());
        }
        if (keyRequired) {
            return Future.failedFuture(BaobabcartException.of(ResultCode.KEY_REQUIRED));
        }
        return send(RequestIds::next, DispatchGate.open()).compose(this::deliver);
    }

    private Future<Void> claim(String key) {
        String attemptId = RequestIds.next();
        ClaimCall call = new ClaimCall(context.workspace().name(), service.name(), key, digest(), attemptId);
        Duration remaining = Duration.ofNanos(Math.max(1, context.deadlineNanos() - System.nanoTime()));
        Duration timeout = remaining.compareTo(CLAIM_TIMEOUT) < 0 ? remaining : CLAIM_TIMEOUT;
        return Future.fromCompletionStage(
                        runtime.dependencies()
                                .claims()
                                .claim(call, service, timeout)
                                .subscribeAsCompletionStage(),
                        runtime.vertx().getOrCreateContext())
                .compose(decision -> applyDecision(call, decision));
    }

    private Future<Void> applyDecision(ClaimCall call, ClaimDecision decision) {
        return switch (decision.kind()) {
            case GRANTED -> sendClaimed(call);
            case REPLAY -> replay(decision.answer().orElseThrow());
            case REFUSED ->
                Future.failedFuture(BaobabcartException.of(decision.refusal().orElse(ResultCode.CLAIM_UNAVAILABLE)));
        };
    }

    private Future<Void> replay(StoredReply reply) {
        return write(reply);
    }

    private Future<Void> sendClaimed(ClaimCall call) {
        return send(call::attemptId, ClaimGate.of(runtime.dependencies().claims(), call.attemptId()))
                .transform(sent -> {
                    if (sent.succeeded()) {
                        Future<Void> settled = settle(call, ClaimOutcome.finished(sent.result()));
                        return Future.join(settled, submitBill()).transform(ignored -> write(sent.result()));
                    }
                    settle(call, exchange.mayHaveRun() ? ClaimOutcome.unknown() : ClaimOutcome.notRun());
                    return Future.failedFuture(sent.cause());
                });
    }

    private Future<Void> settle(ClaimCall call, ClaimOutcome outcome) {
        return Future.fromCompletionStage(
                        runtime.dependencies().claims().settle(call, outcome).subscribeAsCompletionStage(),
                        runtime.vertx().getOrCreateContext())
                .onSuccess(ignored -> exchange.record(
                        EventType.CLAIM_SETTLED, EventFields.none().with(EventField.OUTCOME, outcome.kind())))
                .otherwiseEmpty();
    }

    private Future<StoredReply> send(Supplier<String> attemptIds, DispatchGate gate) {
        AttemptPlan plan = new AttemptPlan(
                Pool.ofService(service.name()), repeatable, 0, "", Optional.empty(), attemptIds, this::request, gate);
        return PlannedAttemptHandler.run(runtime, exchange, context, plan, this::collect);
    }

    private UpstreamRequest request(String attemptId) {
        HttpServerRequest caller = exchange.request();
        Map<String, String> headers = new HashMap<>();
        for (String name : REQUEST_HEADERS) {
            if (caller.headers().contains(name)) {
                headers.put(name, caller.getHeader(name));
            }
        }
        headers.put(Headers.REQUEST_ID, exchange.requestId());
        headers.put(Headers.ATTEMPT_ID, attemptId);
        headers.put(Headers.WORKSPACE, context.workspace().name());
        String query = caller.query() == null ? "" : "?" + caller.query();
        TrafficSettings.Timeouts timeouts = runtime.settings().timeouts();
        return new UpstreamRequest(
                attemptId,
                false,
                repeatable,
                HttpMethod.valueOf(caller.method().name()),
                path.path() + query,
                headers,
                body,
                new UpstreamRequest.ProgressTimeouts(timeouts.firstByte(), timeouts.betweenBytes()),
                () -> true);
    }

    private Future<StoredReply> collect(UpstreamResponse response) {
        Map<String, String> headers = new HashMap<>();
        response.headers().forEach(entry -> {
            String name = entry.getKey().toLowerCase(Locale.ROOT);
            if (!DROPPED_RESPONSE_HEADERS.contains(name) && !name.startsWith(ROUTER_HEADER_PREFIX)) {
                headers.put(entry.getKey(), entry.getValue());
            }
        });
        return response.collect(runtime.settings().limits().responseBytes())
                .onSuccess(ignored -> exchange.describeAnswer(response.describe()))
                .map(content -> new StoredReply(response.status(), headers, content.getBytes()));
    }

    private Future<Void> deliver(StoredReply reply) {
        return submitBill().compose(ignored -> write(reply));
    }

    private Future<Void> write(StoredReply reply) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap().addAll(reply.headers());
        exchange.respond(reply.status(), headers, Buffer.buffer(reply.body()));
        return Future.succeededFuture();
    }

    private Future<Void> submitBill() {
        return BillSubmitter.submit(
                runtime, new Bill(exchange.requestId(), context.workspace().name(), service.name(), "", 1));
    }

    private String digest() {
        HttpServerRequest caller = exchange.request();
        String head = caller.method().name() + "\n" + path.path() + "\n" + caller.query() + "\n";
        return KeyHash.of(head + KeyHash.of(body.toString("ISO-8859-1")));
    }
}
