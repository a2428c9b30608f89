package org.baobabcart.router.traffic;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.baobabcart.model.request.Bill;
import org.baobabcart.model.request.Headers;
import org.baobabcart.model.request.RequestIds;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.cascade.CascadeDecision;
import org.baobabcart.policy.cascade.CascadePlan;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.policy.rollout.LatencyLoss;
import org.baobabcart.router.cascade.RequestClassifier;
import org.baobabcart.router.exchange.CallerExchange;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.upstream.AttemptException;
import org.baobabcart.router.upstream.UpstreamRequest;
import org.baobabcart.router.upstream.UpstreamResponse;
import org.baobabcart.router.view.TrafficView;

/**
 * Carries one chat or completion request from its first step to its bill. Confined to the event loop of the caller's
 * connection.
 *
 * <p>Responses of all steps but the last are buffered until they have been rated; the response of the last step is
 * streamed through.
 */
final class ModelRequestExecution {
    private static final Duration TOKEN_TIMEOUT = Duration.ofMillis(200);
    private static final String EVENT_STREAM = "text/event-stream";
    private static final int STATUS_OK = 200;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final Buffer CLOSING_EVENT = Buffer.buffer("data: [DONE]\n\n");

    private final TrafficRuntime runtime;
    private final CallerExchange exchange;
    private final CallerContext context;
    private final ModelRequest request;
    private final StepPlan steps;
    private final Optional<CascadePlan> cascade;
    private final String requestClass;
    private final VersionSelector versions;
    private SelectedVersion currentVersion;
    private long deliveredUnits;
    private long sentNanos;

    private ModelRequestExecution(
            TrafficRuntime runtime, CallerExchange exchange, CallerContext context, ModelRequest request) {
        this.runtime = runtime;
        this.exchange = exchange;
        this.context = context;
        this.request = request;
        this.steps = StepPlan.of(context.sheet(), context.workspace(), request.model());
        this.cascade = steps.cascade(context.sheet());
        this.requestClass = RequestClassifier.of(
                context.workspace().name(),
                request.kind().label(),
                request.prompt().length());
        this.versions =
                VersionSelector.create(runtime.dependencies().signer().get(), context.workspace(), context.session());
    }

    /** Creates the execution of a request; throws if the request is refused. */
    static ModelRequestExecution create(
            TrafficRuntime runtime, CallerExchange exchange, CallerContext context, ModelRequest request) {
        return new ModelRequestExecution(runtime, exchange, context, request);
    }

    /**
     * Completes when the response has been handed to the caller's connection; fails if the caller has to get an error.
     */
    Future<Void> run() {
        int first = cascade.map(plan -> runtime.cascades().firstStep(plan, requestClass))
                .orElse(0);
        return step(first, Optional.empty());
    }

    private Future<Void> step(int index, Optional<ModelResponse> fallback) {
        boolean last = index == steps.size() - 1;
        Future<ModelResponse> response;
        try {
            currentVersion =
                    versions.select(runtime.dependencies().views().current(), steps.workspace(), steps.step(index));
            response = send(currentVersion, last && request.stream())
                    .recover(failure -> tryAnotherVersion(index, last, failure));
        } catch (BaobabcartException refusal) {
            response = Future.failedFuture(refusal);
        }
        return response.onFailure(ignored -> billCancelled())
                .compose(complete -> last ? deliverLast(complete) : rate(index, fallback.isPresent(), complete))
                .recover(failure -> fallback.isPresent() && !exchange.responseStarted() && !exchange.isCallerGone()
                        ? deliver(fallback.get())
                        : Future.failedFuture(failure));
    }

    /**
     * Tries another version if the selected one was withdrawn, has no reachable engine, or is the new version of a
     * roll-out without a free slot.
     */
    private Future<ModelResponse> tryAnotherVersion(int index, boolean last, Throwable failure) {
        if (!(failure instanceof BaobabcartException refusal) || exchange.responseStarted()) {
            return Future.failedFuture(failure);
        }
        Optional<SelectedVersion> other = alternativeVersion(index, refusal.code());
        if (other.isEmpty()) {
            return Future.failedFuture(failure);
        }
        currentVersion = other.get();
        return send(currentVersion, last && request.stream());
    }

    private Optional<SelectedVersion> alternativeVersion(int index, ResultCode code) {
        TrafficView view = runtime.dependencies().views().current();
        return switch (code) {
            case VERSION_WITHDRAWN -> Optional.of(versions.select(view, steps.workspace(), steps.step(index)));
            case UPSTREAM_UNREACHABLE, NO_UPSTREAM -> versions.alternativeTo(currentVersion, view, steps.workspace());
            case DEADLINE_UNREACHABLE, QUEUE_FULL -> versions.alternativeToNew(currentVersion, view, steps.workspace());
            default -> Optional.empty();
        };
    }

    private Future<Void> rate(int index, boolean escalated, ModelResponse response) {
        return Future.fromCompletionStage(
                        runtime.dependencies()
                                .ratings()
                                .rate(ratingRequest(response))
                                .subscribeAsCompletionStage(),
                        runtime.vertx().getOrCreateContext())
                .compose(rated -> {
                    runtime.guards().versionOutcomes().responseRated(response.version(), rated, response.latencyLoss());
                    CascadeDecision decision = runtime.cascades()
                            .afterAnswer(cascade.orElseThrow(), requestClass, index, escalated, rated);
                    if (decision.accepted()) {
                        return deliver(response);
                    }
                    exchange.record(
                            EventType.REQUEST_ESCALATED,
                            EventFields.of(EventField.MODEL, response.version().model())
                                    .with(EventField.ESCALATED, true));
                    return step(decision.nextStep().orElseThrow(), Optional.of(response));
                });
    }

    private RatingRequest ratingRequest(ModelResponse response) {
        return new RatingRequest(
                exchange.requestId(),
                response.version().model(),
                response.version().version(),
                request.kind().label(),
                request.prompt(),
                response.text());
    }

    private Future<ModelResponse> send(SelectedVersion version, boolean direct) {
        AttemptPlan plan = new AttemptPlan(
                version.pool(),
                true,
                request.maxTokens(),
                request.affinity(),
                Optional.of(request.fingerprint()),
                RequestIds::next,
                attemptId -> upstreamRequest(version, attemptId),
                DispatchGate.open());
        return PlannedAttemptHandler.run(
                runtime, exchange, context, plan, response -> consume(version, direct, response));
    }

    /** Returns the latency loss of a response that is complete now. */
    private double latencyLoss(long tokens) {
        return LatencyLoss.of(
                Duration.ofNanos(System.nanoTime() - sentNanos),
                Duration.ofMillis(context.rank().targetMillis()),
                tokens);
    }

    private UpstreamRequest upstreamRequest(SelectedVersion version, String attemptId) {
        sentNanos = System.nanoTime();
        Map<String, String> headers = new HashMap<>();
        headers.put("Content-Type", "application/json");
        headers.put(Headers.REQUEST_ID, exchange.requestId());
        headers.put(Headers.ATTEMPT_ID, attemptId);
        headers.put(Headers.WORKSPACE, context.workspace().name());
        headers.put(Headers.PRIORITY, Integer.toString(context.rankIndex()));
        headers.put(Headers.VERSION, version.version());
        Duration firstByte =
                context.firstByteTimeout(runtime.settings().timeouts().firstByte());
        if (!request.stream()) {
            firstByte = firstByte.plus(TOKEN_TIMEOUT.multipliedBy(request.maxTokens()));
        }
        return new UpstreamRequest(
                attemptId,
                true,
                true,
                HttpMethod.POST,
                request.kind().path(),
                headers,
                request.upstreamBody(version.model()),
                new UpstreamRequest.ProgressTimeouts(
                        firstByte, runtime.settings().timeouts().betweenBytes()),
                () -> true);
    }

    private Future<ModelResponse> consume(SelectedVersion version, boolean direct, UpstreamResponse response) {
        if (response.status() >= STATUS_SERVER_ERROR || response.status() == STATUS_TOO_MANY_REQUESTS) {
            AttemptException failure =
                    AttemptException.of(FailureKind.FAILED, response.upstream(), "status " + response.status());
            response.fail(failure);
            return Future.failedFuture(failure);
        }
        if (request.stream() && response.status() == STATUS_OK) {
            return relay(version, direct, response);
        }
        return response.collect(runtime.settings().limits().responseBytes())
                .onSuccess(ignored -> exchange.describeAnswer(response.describe()))
                .compose(body -> toResponse(version, response, body));
    }

    private Future<ModelResponse> relay(SelectedVersion version, boolean direct, UpstreamResponse response) {
        StreamRelay relay = StreamRelay.create(
                runtime,
                request,
                response,
                direct ? Optional.of(exchange) : Optional.empty(),
                () -> exchange.beginChunked(STATUS_OK, streamHeaders(version)));
        return relay.run()
                .onSuccess(
                        ignored -> exchange.describeAnswer(response.describe().with(EventField.EVENTS, relay.events())))
                .onComplete(ignored -> deliveredUnits = direct ? relay.units() : 0)
                .map(ignored -> new ModelResponse(
                        version,
                        STATUS_OK,
                        EVENT_STREAM,
                        relay.buffered(),
                        relay.text(),
                        relay.units(),
                        latencyLoss(relay.units())));
    }

    private Future<ModelResponse> toResponse(SelectedVersion version, UpstreamResponse response, Buffer body) {
        Optional<JsonNode> json = CompletionJson.parse(body.getBytes());
        if (response.status() == STATUS_OK
                && json.filter(node -> node.has("choices")).isEmpty()) {
            return Future.failedFuture(
                    AttemptException.of(FailureKind.INCOMPLETE, response.upstream(), "incomplete response"));
        }
        String text = json.map(CompletionJson::text).orElse("");
        long units = json.map(CompletionJson::totalTokens).orElse(0L);
        return Future.succeededFuture(new ModelResponse(
                version, response.status(), "application/json", List.of(body), text, units, latencyLoss(units)));
    }

    private Future<Void> deliverLast(ModelResponse response) {
        return deliver(response).onSuccess(ignored -> {
            if (response.status() == STATUS_OK) {
                runtime.guards().versionOutcomes().responseCompleted(ratingRequest(response), response.latencyLoss());
            }
        });
    }

    private Future<Void> deliver(ModelResponse response) {
        if (response.status() != STATUS_OK) {
            exchange.respond(
                    response.status(), headersOf(response), response.chunks().get(0));
            return Future.succeededFuture();
        }
        if (request.stream() && !exchange.responseStarted()) {
            exchange.beginChunked(STATUS_OK, streamHeaders(response.version()));
            response.chunks().forEach(exchange::write);
        }
        return submitBill(response.version(), response.units()).onSuccess(ignored -> {
            if (request.stream()) {
                exchange.end(CLOSING_EVENT);
            } else {
                exchange.respond(
                        STATUS_OK, headersOf(response), response.chunks().get(0));
            }
        });
    }

    private void billCancelled() {
        if (exchange.isCallerGone() && deliveredUnits > 0) {
            submitBill(currentVersion, deliveredUnits);
        }
    }

    private Future<Void> submitBill(SelectedVersion version, long units) {
        Bill bill =
                new Bill(exchange.requestId(), context.workspace().name(), version.model(), version.version(), units);
        return BillSubmitter.submit(runtime, bill);
    }

    private MultiMap headersOf(ModelResponse response) {
        return responseHeaders(response.version(), response.contentType());
    }

    private MultiMap streamHeaders(SelectedVersion version) {
        return responseHeaders(version, EVENT_STREAM).add("Cache-Control", "no-cache");
    }

    private MultiMap responseHeaders(SelectedVersion version, String contentType) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        headers.add("Content-Type", contentType);
        headers.add(Headers.MODEL, version.model());
        headers.add(Headers.VERSION, version.version());
        versions.sign(version).ifPresent(token -> headers.add(Headers.SESSION, token));
        return headers;
    }
}
