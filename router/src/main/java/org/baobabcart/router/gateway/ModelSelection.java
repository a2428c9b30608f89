package org.baobabcart.router.gateway;

import java.util.List;
import java.util.Optional;
import org.baobabcart.model.gateway.Route;
import org.baobabcart.router.exchange.CallerExchange;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;

/**
 * Which of a route's models answers a request: the smallest first, then the largest where {@code EscalationPolicy} finds that it
 * pays. Confined to the event loop of the caller's connection.
 */
final class ModelSelection {
    /** Two decimal places are written. */
    private static final double HUNDREDTHS = 100;

    private final GatewayRuntime runtime;
    private final CallerExchange exchange;
    private final RequestHead head;
    private Route route;
    private boolean onLargest;

    private ModelSelection(GatewayRuntime runtime, CallerExchange exchange, RequestHead head, Route route) {
        this.runtime = runtime;
        this.exchange = exchange;
        this.head = head;
        this.route = route;
    }

    static ModelSelection create(GatewayRuntime runtime, CallerExchange exchange, RequestHead head, Route route) {
        return new ModelSelection(runtime, exchange, head, route);
    }

    /** Takes over the request's route in another table. */
    void follow(Route newRoute) {
        route = newRoute;
    }

    /** The model to ask; empty where the caller names it or the service has none. */
    Optional<String> current() {
        List<String> sizes = sizes();
        return sizes.isEmpty() ? Optional.empty() : Optional.of(onLargest ? largest() : sizes.get(0));
    }

    boolean hasLarger() {
        return !onLargest && sizes().size() > 1;
    }

    /** Asks the largest model from now on. */
    void takeLargest() {
        onLargest = true;
    }

    /** Whether the answer of the present model should be dropped for one of the largest. */
    boolean isLargerWorthIt(int confidence, int rank) {
        long now = System.nanoTime();
        String larger = largest();
        int promptTokens = head.tokens().prompt();
        double elapsed = now - exchange.begunNanos();
        double begins = elapsed + runtime.forecast().expectedNanos(larger, route.name(), promptTokens, now);
        double pressure = begins / target();
        double crowding = runtime.forecast().crowding(larger, promptTokens, now);
        boolean worthIt = runtime.settings().escalation().pays(confidence, rank, pressure, crowding);
        exchange.record(
                EventType.REQUEST_ESCALATED,
                EventFields.of(EventField.MODEL, sizes().get(0))
                        .with(EventField.CONFIDENCE, confidence)
                        .with(EventField.PRESSURE, rounded(pressure))
                        .with(EventField.CROWDING, rounded(crowding))
                        .with(EventField.PROMPT_TOKENS, promptTokens)
                        .with(EventField.ESCALATED, worthIt));
        return worthIt;
    }

    private static double rounded(double value) {
        return Math.round(value * HUNDREDTHS) / HUNDREDTHS;
    }

    /** Keeps the time to the beginning of the largest models' answers, which tells how loaded their engines are. */
    void noteBeginning(long nanos) {
        if (onLargest || sizes().size() == 1) {
            long now = System.nanoTime();
            runtime.pressure().observe(route.name(), nanos / target(), now);
            runtime.forecast().observe(largest(), route.name(), head.tokens().prompt(), nanos, isLate(now), now);
        }
    }

    /** The time in which answers of the route's largest model begin now, over the time in which they should. */
    double pressure() {
        return runtime.pressure().of(route.name(), System.nanoTime());
    }

    private String largest() {
        List<String> sizes = sizes();
        return sizes.get(sizes.size() - 1);
    }

    private boolean isLate(long nowNanos) {
        return nowNanos - exchange.begunNanos() > target();
    }

    private double target() {
        return Math.max(1, route.target().toNanos());
    }

    private List<String> sizes() {
        return head.model().isPresent() ? List.of() : route.sizes();
    }
}
