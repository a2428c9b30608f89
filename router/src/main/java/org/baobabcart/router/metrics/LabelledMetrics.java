package org.baobabcart.router.metrics;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramReservoir;

/**
 * Metrics of one name that differ by labels, written into their names as {@code name{label="value"}}. Thread-safe.
 *
 * <p>Label values come from configurations and callers, so the number of series of one name is bounded; what lies beyond is
 * counted under the value {@code other}.
 */
public final class LabelledMetrics {
    /** The most series of one name: a few dozen routes with some outcomes each, at about 30 kB for a histogram. */
    private static final int SERIES_LIMIT = 64;

    private static final String OTHER = "other";

    private final MetricRegistry registry;
    private final Map<String, Set<Map<String, String>>> series = new ConcurrentHashMap<>();

    private LabelledMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Metrics that are kept in this registry. */
    public static LabelledMetrics in(MetricRegistry registry) {
        return new LabelledMetrics(registry);
    }

    /** Labels in the order given, as pairs of name and value. */
    public static Map<String, String> labels(String... pairs) {
        Map<String, String> labels = new LinkedHashMap<>();
        for (int index = 0; index < pairs.length; index += 2) {
            labels.put(pairs[index], pairs[index + 1]);
        }
        return labels;
    }

    /** A histogram with a bounded relative error, over the life of the process. */
    public Histogram histogram(String name, Map<String, String> labels) {
        return registry.histogram(bounded(name, labels), () -> new Histogram(new HdrHistogramReservoir()));
    }

    /** A counter of events. */
    public Meter meter(String name, Map<String, String> labels) {
        return registry.meter(bounded(name, labels));
    }

    /** A value that is read when somebody asks for it. */
    public void gauge(String name, Map<String, String> labels, Gauge<Number> gauge) {
        registry.gauge(bounded(name, labels), () -> gauge);
    }

    private String bounded(String name, Map<String, String> labels) {
        Set<Map<String, String>> known = series.computeIfAbsent(name, ignored -> ConcurrentHashMap.newKeySet());
        if (known.contains(labels)) {
            return full(name, labels);
        }
        if (known.size() >= SERIES_LIMIT) {
            Map<String, String> others = new LinkedHashMap<>(labels);
            others.replaceAll((label, value) -> OTHER);
            return full(name, others);
        }
        known.add(Map.copyOf(labels));
        return full(name, labels);
    }

    private static String full(String name, Map<String, String> labels) {
        StringBuilder text = new StringBuilder(name).append('{');
        labels.forEach((label, value) -> text.append(text.charAt(text.length() - 1) == '{' ? "" : ",")
                .append(label)
                .append("=\"")
                .append(value.replaceAll("[\\\\\"\\n]", "_"))
                .append('"'));
        return text.append('}').toString();
    }
}
