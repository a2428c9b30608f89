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

/** Metrics in Prometheus' text format 0.0.4. Confined to the thread that writes. */
public final class PrometheusText {
    private static final String PREFIX = "baobabcart_";
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final StringBuilder text = new StringBuilder();
    private final Set<String> typed = new HashSet<>();

    private PrometheusText() {}

    /** All metrics of a registry. */
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
        type(suffixed(name, "_total"), "counter");
        sample(suffixed(name, "_total"), "", meter.getCount());
    }

    private void histogram(String name, Histogram histogram) {
        type(name, "summary");
        quantiles(name, histogram.getSnapshot(), 1);
        sample(suffixed(name, "_count"), "", histogram.getCount());
    }

    private void timer(String name, Timer timer) {
        String seconds = suffixed(name, "_seconds");
        type(seconds, "summary");
        quantiles(seconds, timer.getSnapshot(), NANOS_PER_SECOND);
        sample(suffixed(seconds, "_count"), "", timer.getCount());
    }

    private void quantiles(String name, Snapshot snapshot, double unit) {
        sample(name, "{quantile=\"0.5\"}", snapshot.getMedian() / unit);
        sample(name, "{quantile=\"0.95\"}", snapshot.get95thPercentile() / unit);
        sample(name, "{quantile=\"0.99\"}", snapshot.get99thPercentile() / unit);
    }

    /** States the type once for all series of a name. */
    private void type(String name, String type) {
        String plain = sanitized(plain(name));
        if (typed.add(plain)) {
            text.append("# TYPE ").append(plain).append(' ').append(type).append('\n');
        }
    }

    private void sample(String name, String more, double value) {
        String labels = join(name.substring(plain(name).length()), more);
        text.append(sanitized(plain(name)))
                .append(labels)
                .append(' ')
                .append(value)
                .append('\n');
    }

    /** A name without the labels that {@code LabelledMetrics} adds. */
    private static String plain(String name) {
        int labels = name.indexOf('{');
        return labels < 0 ? name : name.substring(0, labels);
    }

    /** The same metric with a longer name. */
    private static String suffixed(String name, String suffix) {
        return plain(name) + suffix + name.substring(plain(name).length());
    }

    private static String join(String labels, String more) {
        if (labels.isEmpty() || more.isEmpty()) {
            return labels + more;
        }
        return labels.substring(0, labels.length() - 1) + "," + more.substring(1);
    }

    private static String sanitized(String name) {
        return PREFIX + name.replaceAll("[^A-Za-z0-9_]", "_").toLowerCase(Locale.ROOT);
    }
}
