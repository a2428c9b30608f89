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
 * Adds labels to the metrics of a registry, encoded in their names as {@code name{label="value"}}. Thread-safe.
 *
 * <p>Label values come from configurations and callers, so the number of series of a name is limited; further ones are
 * counted in one series whose label values are {@code other}.
 */
public final class LabelledMetrics {
    /**
     * The maximum number of series of a name: a few dozen routes with some outcomes each, at about 30 kB per
     * histogram.
     */
    private static final int MAX_SERIES_PER_NAME = 64;

    private static final String OTHER = "other";

    private final MetricRegistry registry;
    private final Map<String, Set<Map<String, String>>> series = new ConcurrentHashMap<>();

    private LabelledMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Creates labelled metrics in a registry. */
    public static LabelledMetrics create(MetricRegistry registry) {
        return new LabelledMetrics(registry);
    }

    /** Creates labels from alternating names and values; keeps their order. */
    public static Map<String, String> labels(String... pairs) {
        Map<String, String> labels = new LinkedHashMap<>();
        for (int index = 0; index < pairs.length; index += 2) {
            labels.put(pairs[index], pairs[index + 1]);
        }
        return labels;
    }

    /** Returns a histogram over the life of the process, whose relative error is bounded. */
    public Histogram histogram(String name, Map<String, String> labels) {
        return registry.histogram(boundedName(name, labels), () -> new Histogram(new HdrHistogramReservoir()));
    }

    /** Returns a meter that counts events. */
    public Meter meter(String name, Map<String, String> labels) {
        return registry.meter(boundedName(name, labels));
    }

    /** Registers a gauge, whose value is read when the metrics are. */
    public void gauge(String name, Map<String, String> labels, Gauge<Number> gauge) {
        registry.gauge(boundedName(name, labels), () -> gauge);
    }

    private String boundedName(String name, Map<String, String> labels) {
        Set<Map<String, String>> knownLabels = series.computeIfAbsent(name, ignored -> ConcurrentHashMap.newKeySet());
        if (knownLabels.contains(labels)) {
            return seriesName(name, labels);
        }
        if (knownLabels.size() >= MAX_SERIES_PER_NAME) {
            Map<String, String> otherLabels = new LinkedHashMap<>(labels);
            otherLabels.replaceAll((label, value) -> OTHER);
            return seriesName(name, otherLabels);
        }
        knownLabels.add(Map.copyOf(labels));
        return seriesName(name, labels);
    }

    private static String seriesName(String name, Map<String, String> labels) {
        StringBuilder text = new StringBuilder(name).append('{');
        labels.forEach((label, value) -> text.append(text.charAt(text.length() - 1) == '{' ? "" : ",")
                .append(label)
                .append("=\"")
                .append(escaped(value))
                .append('"'));
        return text.append('}').toString();
    }

    /** Escapes a value as the Prometheus text format does, so that different values stay different. */
    private static String escaped(String value) {
        return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
