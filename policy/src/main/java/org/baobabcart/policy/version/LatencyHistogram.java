package org.baobabcart.policy.version;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * A latency histogram with logarithmic buckets, eight per doubling, from one millisecond to about one minute.
 * Immutable.
 *
 * <p>The bucket boundaries are the same on all routers, so that histograms can be added.
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

    /** Returns a histogram without entries. */
    public static LatencyHistogram empty() {
        return EMPTY;
    }

    /** Creates a histogram from counts by bucket. Ignores buckets that do not exist. */
    public static LatencyHistogram of(Map<Integer, Long> byBucket) {
        long[] counts = new long[BUCKETS];
        byBucket.forEach((bucket, count) -> {
            if (bucket >= 0 && bucket < BUCKETS) {
                counts[bucket] = Math.max(0, count);
            }
        });
        return new LatencyHistogram(counts);
    }

    /** Returns the bucket of a latency. Values outside the range are counted in the first or last bucket. */
    static int bucketOf(double millis) {
        double bucket = Math.floor(Math.log(Math.max(1, millis)) / LOG_TWO * BUCKETS_PER_DOUBLING);
        return (int) Math.min(BUCKETS - 1, bucket);
    }

    /** Returns the lower bound of a bucket in milliseconds. */
    static double lowerBoundMillis(int bucket) {
        return Math.pow(2, (double) bucket / BUCKETS_PER_DOUBLING);
    }

    /** Returns a copy with one more entry. */
    public LatencyHistogram with(double millis) {
        long[] updated = counts.clone();
        updated[bucketOf(millis)]++;
        return new LatencyHistogram(updated);
    }

    /** Returns the sum of both histograms. */
    public LatencyHistogram plus(LatencyHistogram other) {
        long[] sum = counts.clone();
        Arrays.setAll(sum, bucket -> counts[bucket] + other.counts[bucket]);
        return new LatencyHistogram(sum);
    }

    /** Returns the entries added since an earlier histogram; counts that have decreased become zero. */
    public LatencyHistogram minus(LatencyHistogram earlier) {
        long[] difference = counts.clone();
        Arrays.setAll(difference, bucket -> Math.max(0, counts[bucket] - earlier.counts[bucket]));
        return new LatencyHistogram(difference);
    }

    /** Returns the number of entries. */
    public long total() {
        return Arrays.stream(counts).sum();
    }

    /** Returns the number of entries in a bucket. */
    long count(int bucket) {
        return bucket < 0 || bucket >= BUCKETS ? 0 : counts[bucket];
    }

    /** Returns the number of entries in the buckets below the given one. */
    long countBelow(int bucket) {
        return Arrays.stream(counts, 0, Math.max(0, Math.min(BUCKETS, bucket))).sum();
    }

    /** Returns the bucket of the median, or the first bucket if there are no entries. */
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

    /** Returns the counts of all non-empty buckets. */
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
