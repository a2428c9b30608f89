package org.baobabcart.router.admin;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Formats metrics in the Prometheus text format 0.0.4. An instance is confined to one thread. */
public final class PrometheusText {
    private static final String PREFIX = "baobabcart_";
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final StringBuilder text = new StringBuilder();
    private final Set<String> typedNames = new HashSet<>();

    private PrometheusText() {}

    /** Returns all metrics of a registry in the text format. */
    public static String of(MetricRegistry metrics) {
        PrometheusText writer = new PrometheusText();
        metrics.getGauges().forEach(writer::gauge);
        metrics.getCounters().forEach(writer::counter);
        metrics.getMeters().forEach(writer::meter);
        metrics.getHistograms().forEach(writer::histogram);
        metrics.getTimers().forEach(writer::timer);
        return writer.text.toString();
    }

    private void gauge(String name, Gauge<?> gauge) {
        if (gauge.getValue() instanceof Number number) {
            type(name, "gauge");
            sample(name, "", number.doubleValue());
        }
    }

    private void counter(String name, Counter counter) {
        type(name, "gauge");
        sample(name, "", counter.getCount());
    }

    private void meter(String name, Meter meter) {
        type(withSuffix(name, "_total"), "counter");
        sample(withSuffix(name, "_total"), "", meter.getCount());
    }

    private void histogram(String name, Histogram histogram) {
        type(name, "summary");
        quantiles(name, histogram.getSnapshot(), 1);
        sample(withSuffix(name, "_count"), "", histogram.getCount());
    }

    private void timer(String name, Timer timer) {
        String seconds = withSuffix(name, "_seconds");
        type(seconds, "summary");
        quantiles(seconds, timer.getSnapshot(), NANOS_PER_SECOND);
        sample(withSuffix(seconds, "_count"), "", timer.getCount());
    }

    private void quantiles(String name, Snapshot snapshot, double unit) {
        sample(name, "{quantile=\"0.5\"}", snapshot.getMedian() / unit);
        sample(name, "{quantile=\"0.95\"}", snapshot.get95thPercentile() / unit);
        sample(name, "{quantile=\"0.99\"}", snapshot.get99thPercentile() / unit);
    }

    /** Writes the type of a metric, once for all series of its name. */
    private void type(String name, String type) {
        String metricName = prometheusName(baseName(name));
        if (typedNames.add(metricName)) {
            text.append("# TYPE ").append(metricName).append(' ').append(type).append('\n');
        }
    }

    private void sample(String name, String extraLabels, double value) {
        String labels = mergeLabels(name.substring(baseName(name).length()), extraLabels);
        text.append(prometheusName(baseName(name)))
                .append(labels)
                .append(' ')
                .append(value)
                .append('\n');
    }

    /** Returns a name without the labels that {@code LabelledMetrics} adds. */
    private static String baseName(String name) {
        int labels = name.indexOf('{');
        return labels < 0 ? name : name.substring(0, labels);
    }

    /** Appends a suffix to the name of a metric, before its labels. */
    private static String withSuffix(String name, String suffix) {
        return baseName(name) + suffix + name.substring(baseName(name).length());
    }

    private static String mergeLabels(String labels, String extraLabels) {
        if (labels.isEmpty() || extraLabels.isEmpty()) {
            return labels + extraLabels;
        }
        return labels.substring(0, labels.length() - 1) + "," + extraLabels.substring(1);
    }

    private static String prometheusName(String name) {
        return PREFIX + name.replaceAll("[^A-Za-z0-9_]", "_").toLowerCase(Locale.ROOT);
    }
}
