package org.baobabcart.load;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Latency percentiles in milliseconds. Immutable.
 *
 * @param count the number of values
 * @param p50 the median
 * @param p95 the 95th percentile
 * @param p99 the 99th percentile
 * @param most the maximum value
 * @param within the cumulative number of values up to each limit in milliseconds
 */
public record LatencySummary(long count, double p50, double p95, double p99, double most, Map<Long, Long> within) {
    private static final long[] LIMITS_MILLIS = {100, 200, 400, 800, 1_600, 3_000, 10_000, 30_000};
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MEDIAN = 50;
    private static final double PERCENTILE_95 = 95;
    private static final double PERCENTILE_99 = 99;

    /** Copies the map and sorts it by limit. */
    public LatencySummary {
        within = Collections.unmodifiableMap(new TreeMap<>(within));
    }

    /** Returns the summary of a histogram of values in nanoseconds. */
    static LatencySummary of(Histogram histogram) {
        return new LatencySummary(
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(MEDIAN) / NANOS_PER_MILLI,
                histogram.getValueAtPercentile(PERCENTILE_95) / NANOS_PER_MILLI,
                histogram.getValueAtPercentile(PERCENTILE_99) / NANOS_PER_MILLI,
                histogram.getMaxValue() / NANOS_PER_MILLI,
                within(histogram));
    }

    private static Map<Long, Long> within(Histogram histogram) {
        Map<Long, Long> counts = new TreeMap<>();
        for (long limit : LIMITS_MILLIS) {
            counts.put(limit, histogram.getCountBetweenValues(0, (long) (limit * NANOS_PER_MILLI)));
        }
        return counts;
    }
}
