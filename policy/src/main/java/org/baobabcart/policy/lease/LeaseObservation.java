package org.baobabcart.policy.lease;

/**
 * A stored lease as observed by a node that does not hold it. Immutable.
 *
 * @param resourceVersion the resource version that was read
 * @param record the lease at that version
 * @param firstSeenNanos the time on this node's monotonic clock when this version was first read
 */
public record LeaseObservation(String resourceVersion, LeaseRecord record, long firstSeenNanos) {
    /** Returns the observation of a version that is read for the first time. */
    public static LeaseObservation first(String resourceVersion, LeaseRecord record, long nowNanos) {
        return new LeaseObservation(resourceVersion, record, nowNanos);
    }

    /**
     * Returns the observation after another read; the time of the first read is kept while the version is unchanged.
     */
    public LeaseObservation withRead(String readVersion, LeaseRecord readRecord, long nowNanos) {
        return readVersion.equals(resourceVersion) ? this : first(readVersion, readRecord, nowNanos);
    }

    /** Returns whether the node may try to acquire the lease by a write that is conditional on the observed version. */
    public boolean mayAcquire(long nowNanos, LeaseTerms terms) {
        return record.holder().isEmpty() || nowNanos - firstSeenNanos >= terms.observerNanos();
    }
}
