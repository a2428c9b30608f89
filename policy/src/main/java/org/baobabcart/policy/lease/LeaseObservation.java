package org.baobabcart.policy.lease;

/**
 * A lease as a node sees it that does not hold it. Immutable.
 *
 * @param resourceVersion the platform's version that was seen
 * @param record what stood there
 * @param firstSeenNanos when this version was first seen, on this node's monotonic clock
 */
public record LeaseObservation(String resourceVersion, LeaseRecord record, long firstSeenNanos) {
    /** A version that is seen for the first time. */
    public static LeaseObservation first(String resourceVersion, LeaseRecord record, long nowNanos) {
        return new LeaseObservation(resourceVersion, record, nowNanos);
    }

    /** What is known after another read; the time counts on as long as the version stays. */
    public LeaseObservation then(String readVersion, LeaseRecord readRecord, long nowNanos) {
        return readVersion.equals(resourceVersion) ? this : first(readVersion, readRecord, nowNanos);
    }

    /** Whether the lease may be taken by a write that is conditional on the version seen. */
    public boolean mayTake(long nowNanos, LeaseTerms terms) {
        return record.holder().isEmpty() || nowNanos - firstSeenNanos >= terms.otherNanos();
    }
}
