package org.baobabcart.load;

import org.HdrHistogram.Histogram;

/**
 * Percentiles of a latency in milliseconds. Immutable.
 *
 * @param count the number of values
 * @param p50 the median
 * @param p95 the 95th percentile
 * @param p99 the 99th percentile
 * @param most the greatest value
 */
public record LatencySummary(long count, double p50, double p95, double p99, double most) {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MEDIAN = 50;
    private static final double PERCENTILE_95 = 95;
    private static final double PERCENTILE_99 = 99;

    /** The summary of a histogram of nanoseconds. */
    static LatencySummary of(Histogram histogram) {
        return new LatencySummary(
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(MEDIAN) / NANOS_PER_MILLI,
                histogram.getValueAtPercentile(PERCENTILE_95) / NANOS_PER_MILLI,
                histogram.getValueAtPercentile(PERCENTILE_99) / NANOS_PER_MILLI,
                histogram.getMaxValue() / NANOS_PER_MILLI);
    }
}
