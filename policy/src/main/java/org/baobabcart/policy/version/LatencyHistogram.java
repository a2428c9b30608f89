package org.baobabcart.policy.version;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * How many times fell into each bucket, eight buckets for each doubling from a millisecond to a minute. Immutable.
 *
 * <p>All routers have the same buckets, so that what they counted can be summed.
 */
public final class LatencyHistogram {
    private static final int BUCKETS_PER_DOUBLING = 8;
    private static final int DOUBLINGS = 16;
    private static final int BUCKETS = BUCKETS_PER_DOUBLING * DOUBLINGS;
    private static final double LOG_TWO = Math.log(2);
    private static final LatencyHistogram EMPTY = new LatencyHistogram(new long[BUCKETS]);

    private final long[] counts;

    private LatencyHistogram(long[] counts) {
        this.counts = counts;
    }

    /** No times. */
    public static LatencyHistogram empty() {
        return EMPTY;
    }

    /** The histogram with these counts by bucket; buckets that there are not are left out. */
    public static LatencyHistogram of(Map<Integer, Long> byBucket) {
        long[] counts = new long[BUCKETS];
        byBucket.forEach((bucket, count) -> {
            if (bucket >= 0 && bucket < BUCKETS) {
                counts[bucket] = Math.max(0, count);
            }
        });
        return new LatencyHistogram(counts);
    }

    /** The bucket of a time; times below the first or above the last bucket count as these. */
    static int bucketOf(double millis) {
        double bucket = Math.floor(Math.log(Math.max(1, millis)) / LOG_TWO * BUCKETS_PER_DOUBLING);
        return (int) Math.min(BUCKETS - 1, bucket);
    }

    /** The lower end of a bucket, in milliseconds. */
    static double lowerBoundMillis(int bucket) {
        return Math.pow(2, (double) bucket / BUCKETS_PER_DOUBLING);
    }

    /** The times with one updated. */
    public LatencyHistogram with(double millis) {
        long[] updated = counts.clone();
        updated[bucketOf(millis)]++;
        return new LatencyHistogram(updated);
    }

    /** The times of both. */
    public LatencyHistogram plus(LatencyHistogram other) {
        long[] sum = counts.clone();
        Arrays.setAll(sum, bucket -> counts[bucket] + other.counts[bucket]);
        return new LatencyHistogram(sum);
    }

    /** The times that came after an earlier count; a bucket that has fewer now has none. */
    public LatencyHistogram minus(LatencyHistogram earlier) {
        long[] difference = counts.clone();
        Arrays.setAll(difference, bucket -> Math.max(0, counts[bucket] - earlier.counts[bucket]));
        return new LatencyHistogram(difference);
    }

    /** The number of times. */
    public long total() {
        return Arrays.stream(counts).sum();
    }

    /** The number of times in this bucket. */
    long count(int bucket) {
        return bucket < 0 || bucket >= BUCKETS ? 0 : counts[bucket];
    }

    /** The number of times in the buckets before this one. */
    long countBelow(int bucket) {
        return Arrays.stream(counts, 0, Math.max(0, Math.min(BUCKETS, bucket))).sum();
    }

    /** The bucket that holds the median; the first of all where there are no times. */
    int medianBucket() {
        long half = (total() + 1) / 2;
        int bucket = 0;
        long cumulative = counts[0];
        while (bucket < BUCKETS - 1 && cumulative < half) {
            bucket++;
            cumulative += counts[bucket];
        }
        return bucket;
    }

    /** The counts by bucket, without empty buckets. */
    public Map<Integer, Long> byBucket() {
        Map<Integer, Long> nonEmpty = new TreeMap<>();
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            if (counts[bucket] > 0) {
                nonEmpty.put(bucket, counts[bucket]);
            }
        }
        return nonEmpty;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof LatencyHistogram histogram && Arrays.equals(counts, histogram.counts);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(counts);
    }

    @Override
    public String toString() {
        return byBucket().toString();
    }
}
