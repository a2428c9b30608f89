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
 * Records the durations of requests, attempts and queueing in milliseconds, by route, service, rank and outcome. Confined to the
 * traffic's only event loop.
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
        this.metrics = LabelledMetrics.create(registry);
    }

    static RequestMetrics create(MetricRegistry registry) {
        return new RequestMetrics(registry);
    }

    /** Records the duration of a request that has ended. */
    void recordRequest(RouteMatch match, CallerExchange exchange) {
        RequestKey key = new RequestKey(
                match.route().name(), match.rank(), exchange.outcome().orElse(EventType.REQUEST_FAILED));
        requests.computeIfAbsent(key, this::requestHistogram).update(millisSince(exchange.startNanos()));
    }

    /** Records the time to first byte of an attempt, or the time to the end of an attempt that failed. */
    void recordAttempt(String service, String result, long nanos) {
        attempts.computeIfAbsent(new AttemptKey(service, result), this::attemptHistogram)
                .update(TimeUnit.NANOSECONDS.toMillis(nanos));
    }

    /** Records the queueing time of an attempt that is about to be sent. */
    void recordWait(int rank, long nanos) {
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
