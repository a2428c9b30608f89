package org.baobabcart.router.gateway;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.baobabcart.router.exchange.CallerExchange;
import org.baobabcart.router.metrics.LabelledMetrics;
import org.baobabcart.router.timeline.EventType;

/**
 * How long requests and attempts take, by what they are and how they end, in milliseconds. Confined to the only event loop of
 * the traffic.
 */
final class RequestMetrics {
    private static final String EVENT_PREFIX = "REQUEST_";

    private final LabelledMetrics metrics;
    private final Map<RequestKey, Histogram> requests = new HashMap<>();
    private final Map<AttemptKey, Histogram> attempts = new HashMap<>();
    private final Map<Integer, Histogram> waits = new HashMap<>();

    private record RequestKey(String route, int rank, EventType outcome) {}

    private record AttemptKey(String service, String result) {}

    private RequestMetrics(MetricRegistry registry) {
        this.metrics = LabelledMetrics.in(registry);
    }

    static RequestMetrics create(MetricRegistry registry) {
        return new RequestMetrics(registry);
    }

    /** Counts a request that has ended. */
    void ended(RouteMatch admission, CallerExchange exchange) {
        RequestKey key = new RequestKey(
                admission.route().name(), admission.rank(), exchange.outcome().orElse(EventType.REQUEST_FAILED));
        requests.computeIfAbsent(key, this::requestHistogram).update(millisSince(exchange.begunNanos()));
    }

    /** Counts the beginning of an answer, or the end of an attempt without one. */
    void attempted(String service, String result, long nanos) {
        attempts.computeIfAbsent(new AttemptKey(service, result), this::attemptHistogram)
                .update(TimeUnit.NANOSECONDS.toMillis(nanos));
    }

    /** Counts the time in the queue of an attempt that was sent. */
    void waited(int rank, long nanos) {
        waits.computeIfAbsent(rank, this::waitHistogram).update(TimeUnit.NANOSECONDS.toMillis(nanos));
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    private Histogram requestHistogram(RequestKey key) {
        String outcome = key.outcome().name().replace(EVENT_PREFIX, "").toLowerCase(Locale.ROOT);
        return metrics.histogram(
                "gateway.request-millis",
                LabelledMetrics.labels("route", key.route(), "rank", Integer.toString(key.rank()), "outcome", outcome));
    }

    private Histogram attemptHistogram(AttemptKey key) {
        return metrics.histogram(
                "gateway.attempt-millis", LabelledMetrics.labels("service", key.service(), "result", key.result()));
    }

    private Histogram waitHistogram(int rank) {
        return metrics.histogram("gateway.wait-millis", LabelledMetrics.labels("rank", Integer.toString(rank)));
    }
}
