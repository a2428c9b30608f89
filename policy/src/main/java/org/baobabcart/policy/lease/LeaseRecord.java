package org.baobabcart.policy.lease;

/**
 * A lease as stored in the platform. Immutable.
 *
 * @param holder the node that holds the lease, empty after a release
 * @param fencing the fencing number, which grows by one with each change of the holder
 */
public record LeaseRecord(String holder, long fencing) {
    /** Returns the record of a lease that was never held. */
    public static LeaseRecord free() {
        return new LeaseRecord("", 0);
    }

    /** Returns the record that a node writes to acquire the lease. */
    public LeaseRecord acquiredBy(String nodeId) {
        return new LeaseRecord(nodeId, fencing + 1);
    }

    /** Returns the record that the holder writes to release the lease. */
    public LeaseRecord released() {
        return new LeaseRecord("", fencing);
    }
}
