package org.baobabcart.router.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.baobabcart.model.gateway.Route;
import org.baobabcart.model.request.PromptPart;
import org.baobabcart.policy.attempt.FirstBytePolicy;
import org.baobabcart.router.exchange.CallerExchange;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.upstream.SlotRequest;

/**
 * Selects the model of a route that answers a request: first the smallest, then the largest if {@code EscalationPolicy} finds it
 * worthwhile. Confined to the event loop of the caller's connection.
 */
final class ModelSelection {
    /** Rounds logged values to two decimal places. */
    private static final double HUNDREDTHS = 100;

    private final GatewayRuntime runtime;
    private final CallerExchange exchange;
    private final RequestHead head;
    private Route route;
    private boolean escalated;

    private ModelSelection(GatewayRuntime runtime, CallerExchange exchange, RequestHead head, Route route) {
        this.runtime = runtime;
        this.exchange = exchange;
        this.head = head;
        this.route = route;
    }

    static ModelSelection create(GatewayRuntime runtime, CallerExchange exchange, RequestHead head, Route route) {
        return new ModelSelection(runtime, exchange, head, route);
    }

    /** Replaces the route after a change of the route table. */
    void updateRoute(Route newRoute) {
        route = newRoute;
    }

    /** Returns the model to ask; empty if the caller names one or the route has no models to choose from. */
    Optional<String> current() {
        List<String> models = models();
        return models.isEmpty() ? Optional.empty() : Optional.of(escalated ? largestModel() : models.get(0));
    }

    boolean hasLargerModel() {
        return !escalated && models().size() > 1;
    }

    /** Selects the largest model for all further attempts. */
    void selectLargest() {
        escalated = true;
    }

    /** Decides whether to discard the current model's response and ask the largest model, and records the decision. */
    boolean shouldEscalate(int confidence, int rank) {
        long now = System.nanoTime();
        String largestModel = largestModel();
        int promptTokens = head.tokens().prompt();
        double elapsed = now - exchange.startNanos();
        double expectedFirstByte =
                elapsed + runtime.firstByteEstimator().expectedNanos(largestModel, route.name(), promptTokens, now);
        double pressure = expectedFirstByte / target();
        double crowding = runtime.firstByteEstimator().crowding(largestModel, promptTokens, now);
        boolean escalate = runtime.settings().escalation().isWorthwhile(confidence, rank, pressure, crowding);
        exchange.record(
                EventType.REQUEST_ESCALATED,
                EventFields.of(EventField.MODEL, models().get(0))
                        .with(EventField.CONFIDENCE, confidence)
                        .with(EventField.PRESSURE, rounded(pressure))
                        .with(EventField.CROWDING, rounded(crowding))
                        .with(EventField.PROMPT_TOKENS, promptTokens)
                        .with(EventField.ESCALATED, escalate));
        return escalate;
    }

    private static double rounded(double value) {
        return Math.round(value * HUNDREDTHS) / HUNDREDTHS;
    }

    /** Records the time to first byte; that of the largest model is a measure of the load on its engines. */
    void recordFirstByte(long nanos) {
        List<String> models = models();
        long now = System.nanoTime();
        if (models.isEmpty()) {
            return;
        }
        if (isLargest()) {
            runtime.latencyPressure().observe(route.name(), nanos / target(), now);
        }
        runtime.firstByteEstimator()
                .observe(
                        current().orElseThrow(),
                        estimatorRoute(),
                        head.tokens().prompt(),
                        nanos,
                        isPastTarget(now),
                        now);
    }

    /** Returns how long to wait for the selected model's first byte; empty if another attempt would not be in time. */
    OptionalDouble replaceAfterNanos() {
        if (models().isEmpty()) {
            return OptionalDouble.empty();
        }
        long now = System.nanoTime();
        double expected = runtime.firstByteEstimator()
                .expectedNanos(
                        current().orElseThrow(), estimatorRoute(), head.tokens().prompt(), now);
        return FirstBytePolicy.replaceAfterNanos(exchange.startNanos() + target() - now, expected);
    }

    /** Returns the key of the estimator's load factor, which differs between a route's models. */
    private String estimatorRoute() {
        return isLargest() ? route.name() : route.name() + ' ' + current().orElse("");
    }

    private boolean isLargest() {
        return escalated || models().size() == 1;
    }

    /** Returns the time that an upstream saves that has cached the prompt's shared parts; {@link SlotRequest#UNKNOWN_GAIN} if unknown. */
    long cachedPrefixGainNanos() {
        List<PromptPart> parts = head.prefix();
        List<String> models = models();
        if (parts.isEmpty() || models.isEmpty()) {
            return SlotRequest.UNKNOWN_GAIN;
        }
        long sharedTokens = parts.subList(0, parts.size() - 1).stream()
                .mapToLong(PromptPart::tokens)
                .sum();
        return runtime.firstByteEstimator()
                .readNanos(largestModel(), (int) Math.min(Integer.MAX_VALUE, sharedTokens))
                .orElse(SlotRequest.UNKNOWN_GAIN);
    }

    /** Returns the current time to first byte of the route's largest model, divided by its target. */
    double pressure() {
        return runtime.latencyPressure().of(route.name(), System.nanoTime());
    }

    private String largestModel() {
        List<String> models = models();
        return models.get(models.size() - 1);
    }

    private boolean isPastTarget(long nowNanos) {
        return nowNanos - exchange.startNanos() > target();
    }

    private double target() {
        return Math.max(1, route.latencyTarget().toNanos());
    }

    private List<String> models() {
        return head.model().isPresent() ? List.of() : route.sizes();
    }
}
