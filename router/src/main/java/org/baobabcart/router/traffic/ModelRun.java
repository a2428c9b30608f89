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
import org.baobabcart.router.cascade.WorkKind;
import org.baobabcart.router.exchange.CallerExchange;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.upstream.AttemptException;
import org.baobabcart.router.upstream.UpstreamAnswer;
import org.baobabcart.router.upstream.UpstreamRequest;
import org.baobabcart.router.view.TrafficView;

/**
 * One chat or completion request from its steps to its bill. Confined to the event loop of the caller's connection.
 *
 * <p>Answers of all steps but the last are kept until they are rated; the last one is passed on as it comes.
 */
final class ModelRun {
    private static final Duration TOKEN_TIMEOUT = Duration.ofMillis(200);
    private static final String EVENT_STREAM = "text/event-stream";
    private static final int STATUS_OK = 200;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final int STATUS_TOO_MANY = 429;
    private static final Buffer CLOSING_EVENT = Buffer.buffer("data: [DONE]\n\n");

    private final TrafficRuntime runtime;
    private final CallerExchange exchange;
    private final CallerContext context;
    private final ModelRequest request;
    private final StepPlan steps;
    private final Optional<CascadePlan> cascade;
    private final String workKind;
    private final VersionSelector versions;
    private SelectedVersion current;
    private long passedOnUnits;
    private long sentNanos;

    private ModelRun(TrafficRuntime runtime, CallerExchange exchange, CallerContext context, ModelRequest request) {
        this.runtime = runtime;
        this.exchange = exchange;
        this.context = context;
        this.request = request;
        this.steps = StepPlan.of(context.sheet(), context.workspace(), request.model());
        this.cascade = steps.cascade(context.sheet());
        this.workKind = WorkKind.of(
                context.workspace().name(),
                request.kind().text(),
                request.prompt().length());
        this.versions = VersionSelector.create(runtime.parts().signer().get(), context.workspace(), context.session());
    }

    /** Prepares a run; throws refusals. */
    static ModelRun create(
            TrafficRuntime runtime, CallerExchange exchange, CallerContext context, ModelRequest request) {
        return new ModelRun(runtime, exchange, context, request);
    }

    /** Completes when the answer is on its way to the caller; fails where the caller has to be refused. */
    Future<Void> run() {
        int first = cascade.map(plan -> runtime.cascades().firstStep(plan, workKind))
                .orElse(0);
        return step(first, Optional.empty());
    }

    private Future<Void> step(int index, Optional<ModelAnswer> lesser) {
        boolean last = index == steps.size() - 1;
        Future<ModelAnswer> answer;
        try {
            current = versions.select(runtime.parts().views().current(), steps.workspace(), steps.step(index));
            answer = ask(current, last && request.stream()).recover(failure -> askAnother(index, last, failure));
        } catch (BaobabcartException refusal) {
            answer = Future.failedFuture(refusal);
        }
        return answer.onFailure(ignored -> billCancelled())
                .compose(whole -> last ? deliverLast(whole) : rate(index, lesser.isPresent(), whole))
                .recover(failure -> lesser.isPresent() && !exchange.responseStarted() && !exchange.isCallerGone()
                        ? deliver(lesser.get())
                        : Future.failedFuture(failure));
    }

    /** Asks another version where the chosen one was withdrawn, has no engine within reach, or is new and has no room. */
    private Future<ModelAnswer> askAnother(int index, boolean last, Throwable failure) {
        if (!(failure instanceof BaobabcartException refusal) || exchange.responseStarted()) {
            return Future.failedFuture(failure);
        }
        Optional<SelectedVersion> other = another(index, refusal.code());
        if (other.isEmpty()) {
            return Future.failedFuture(failure);
        }
        current = other.get();
        return ask(current, last && request.stream());
    }

    private Optional<SelectedVersion> another(int index, ResultCode code) {
        TrafficView view = runtime.parts().views().current();
        return switch (code) {
            case VERSION_WITHDRAWN -> Optional.of(versions.select(view, steps.workspace(), steps.step(index)));
            case UPSTREAM_UNREACHABLE, NO_UPSTREAM -> versions.besides(current, view, steps.workspace());
            case DEADLINE_UNREACHABLE, QUEUE_FULL -> versions.insteadOfNew(current, view, steps.workspace());
            default -> Optional.empty();
        };
    }

    private Future<Void> rate(int index, boolean escalated, ModelAnswer answer) {
        return Future.fromCompletionStage(
                        runtime.parts().ratings().rate(ratingRequest(answer)).subscribeAsCompletionStage(),
                        runtime.vertx().getOrCreateContext())
                .compose(rated -> {
                    runtime.guards().evidence().rated(answer.version(), rated, answer.latencyLoss());
                    CascadeDecision decision =
                            runtime.cascades().afterAnswer(cascade.orElseThrow(), workKind, index, escalated, rated);
                    if (decision.accepted()) {
                        return deliver(answer);
                    }
                    exchange.record(
                            EventType.REQUEST_ESCALATED,
                            EventFields.of(EventField.MODEL, answer.version().model())
                                    .with(EventField.ESCALATED, true));
                    return step(decision.nextStep().orElseThrow(), Optional.of(answer));
                });
    }

    private RatingRequest ratingRequest(ModelAnswer answer) {
        return new RatingRequest(
                exchange.requestId(),
                answer.version().model(),
                answer.version().version(),
                request.kind().text(),
                request.prompt(),
                answer.text());
    }

    private Future<ModelAnswer> ask(SelectedVersion version, boolean direct) {
        AttemptPlan plan = new AttemptPlan(
                version.pool(),
                true,
                request.maximumTokens(),
                request.affinity(),
                Optional.of(request.fingerprint()),
                RequestIds::next,
                attemptId -> upstreamRequest(version, attemptId),
                DispatchGate.open());
        return PlannedAttempts.run(runtime, exchange, context, plan, answer -> consume(version, direct, answer));
    }

    /** What an answer that is whole now loses by its time. */
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
            firstByte = firstByte.plus(TOKEN_TIMEOUT.multipliedBy(request.maximumTokens()));
        }
        return new UpstreamRequest(
                attemptId,
                true,
                true,
                HttpMethod.POST,
                request.kind().path(),
                headers,
                request.upstreamBody(version.model()),
                new UpstreamRequest.Progress(
                        firstByte, runtime.settings().timeouts().betweenBytes()),
                () -> true);
    }

    private Future<ModelAnswer> consume(SelectedVersion version, boolean direct, UpstreamAnswer answer) {
        if (answer.status() >= STATUS_SERVER_ERROR || answer.status() == STATUS_TOO_MANY) {
            AttemptException failure =
                    AttemptException.of(FailureKind.FAILED, answer.upstream(), "status " + answer.status());
            answer.fail(failure);
            return Future.failedFuture(failure);
        }
        if (request.stream() && answer.status() == STATUS_OK) {
            return relay(version, direct, answer);
        }
        return answer.collect(runtime.settings().limits().answerBytes()).compose(body -> whole(version, answer, body));
    }

    private Future<ModelAnswer> relay(SelectedVersion version, boolean direct, UpstreamAnswer answer) {
        StreamRelay relay = StreamRelay.create(
                runtime,
                request,
                answer,
                direct ? Optional.of(exchange) : Optional.empty(),
                () -> exchange.beginChunked(STATUS_OK, streamHeaders(version)));
        return relay.run()
                .onComplete(ignored -> passedOnUnits = direct ? relay.units() : 0)
                .map(ignored -> new ModelAnswer(
                        version,
                        STATUS_OK,
                        EVENT_STREAM,
                        relay.kept(),
                        relay.text(),
                        relay.units(),
                        latencyLoss(relay.units())));
    }

    private Future<ModelAnswer> whole(SelectedVersion version, UpstreamAnswer answer, Buffer body) {
        Optional<JsonNode> json = AnswerText.parse(body.getBytes());
        if (answer.status() == STATUS_OK
                && json.filter(node -> node.has("choices")).isEmpty()) {
            return Future.failedFuture(
                    AttemptException.of(FailureKind.INCOMPLETE, answer.upstream(), "not a whole answer"));
        }
        String text = json.map(AnswerText::text).orElse("");
        long units = json.map(AnswerText::tokens).orElse(0L);
        return Future.succeededFuture(new ModelAnswer(
                version, answer.status(), "application/json", List.of(body), text, units, latencyLoss(units)));
    }

    private Future<Void> deliverLast(ModelAnswer answer) {
        return deliver(answer).onSuccess(ignored -> {
            if (answer.status() == STATUS_OK) {
                runtime.guards().evidence().answered(ratingRequest(answer), answer.latencyLoss());
            }
        });
    }

    private Future<Void> deliver(ModelAnswer answer) {
        if (answer.status() != STATUS_OK) {
            exchange.respond(answer.status(), headersOf(answer), answer.parts().get(0));
            return Future.succeededFuture();
        }
        if (request.stream() && !exchange.responseStarted()) {
            exchange.beginChunked(STATUS_OK, streamHeaders(answer.version()));
            answer.parts().forEach(exchange::write);
        }
        return hold(answer.version(), answer.units()).onSuccess(ignored -> {
            if (request.stream()) {
                exchange.end(CLOSING_EVENT);
            } else {
                exchange.respond(STATUS_OK, headersOf(answer), answer.parts().get(0));
            }
        });
    }

    private void billCancelled() {
        if (exchange.isCallerGone() && passedOnUnits > 0) {
            hold(current, passedOnUnits);
        }
    }

    private Future<Void> hold(SelectedVersion version, long units) {
        Bill bill =
                new Bill(exchange.requestId(), context.workspace().name(), version.model(), version.version(), units);
        return Holding.hold(runtime, bill);
    }

    private MultiMap headersOf(ModelAnswer answer) {
        return answerHeaders(answer.version(), answer.contentType());
    }

    private MultiMap streamHeaders(SelectedVersion version) {
        return answerHeaders(version, EVENT_STREAM).add("Cache-Control", "no-cache");
    }

    private MultiMap answerHeaders(SelectedVersion version, String contentType) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        headers.add("Content-Type", contentType);
        headers.add(Headers.MODEL, version.model());
        headers.add(Headers.VERSION, version.version());
        versions.sign(version).ifPresent(token -> headers.add(Headers.SESSION, token));
        return headers;
    }
}
