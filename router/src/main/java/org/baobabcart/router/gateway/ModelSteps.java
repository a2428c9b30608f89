package org.baobabcart.router.gateway;

import java.util.List;
import java.util.Optional;
import org.baobabcart.model.gateway.ModelSize;
import org.baobabcart.model.gateway.Route;
import org.baobabcart.router.exchange.CallerExchange;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;

/**
 * Which of a route's models answers a request: the smallest first, then the largest where {@code Escalation} finds that it
 * pays. Confined to the event loop of the caller's connection.
 */
final class ModelSteps {
    /** Two decimal places are written. */
    private static final double HUNDREDTHS = 100;

    private final GatewayRuntime runtime;
    private final CallerExchange exchange;
    private final RequestHead head;
    private Route route;
    private boolean onLargest;

    private ModelSteps(GatewayRuntime runtime, CallerExchange exchange, RequestHead head, Route route) {
        this.runtime = runtime;
        this.exchange = exchange;
        this.head = head;
        this.route = route;
    }

    static ModelSteps create(GatewayRuntime runtime, CallerExchange exchange, RequestHead head, Route route) {
        return new ModelSteps(runtime, exchange, head, route);
    }

    /** Takes over the request's route in another table. */
    void follow(Route newRoute) {
        route = newRoute;
    }

    /** The model to ask; empty where the caller names it or the service has none. */
    Optional<ModelSize> current() {
        List<ModelSize> sizes = sizes();
        return sizes.isEmpty() ? Optional.empty() : Optional.of(sizes.get(onLargest ? sizes.size() - 1 : 0));
    }

    boolean hasLarger() {
        return !onLargest && sizes().size() > 1;
    }

    /** Asks the largest model from now on. */
    void takeLargest() {
        onLargest = true;
    }

    /** Whether the answer of the present model should be dropped for one of the largest. */
    boolean isLargerWorthIt(int confidence) {
        List<ModelSize> sizes = sizes();
        int prompt = head.tokens().prompt();
        int output = head.tokens().likelyOutput();
        double pressure = pressure();
        boolean worthIt =
                runtime.settings().escalation().pays(confidence, sizes.get(sizes.size() - 1), prompt, output, pressure);
        exchange.record(
                EventType.REQUEST_ESCALATED,
                EventFields.of(EventField.MODEL, sizes.get(0).name())
                        .with(EventField.CONFIDENCE, confidence)
                        .with(EventField.PRESSURE, Math.round(pressure * HUNDREDTHS) / HUNDREDTHS)
                        .with(EventField.PROMPT_TOKENS, prompt)
                        .with(EventField.OUTPUT_TOKENS, output)
                        .with(EventField.ESCALATED, worthIt));
        return worthIt;
    }

    /** Keeps the time to the beginning of the largest models' answers, which tells how loaded their engines are. */
    void noteBeginning(long nanos) {
        if (onLargest || sizes().size() == 1) {
            double target = Math.max(1, route.target().toNanos());
            runtime.pressure().observe(route.name(), nanos / target, System.nanoTime());
        }
    }

    /** The time in which answers of the route's largest model begin now, over the time in which they should. */
    double pressure() {
        return runtime.pressure().of(route.name(), System.nanoTime());
    }

    private List<ModelSize> sizes() {
        return head.model().isPresent() ? List.of() : route.sizes();
    }
}
