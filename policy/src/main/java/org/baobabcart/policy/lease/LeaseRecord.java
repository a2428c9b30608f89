package org.baobabcart.policy.lease;

/**
 * A lease as it stands in the platform. Immutable.
 *
 * @param holder the node that holds it, empty where it was given back
 * @param fencing grows by one with each change of the holder
 */
public record LeaseRecord(String holder, long fencing) {
    /** The record before the first holder. */
    public static LeaseRecord free() {
        return new LeaseRecord("", 0);
    }

    /** The record that a node writes to take the lease. */
    public LeaseRecord takenBy(String nodeId) {
        return new LeaseRecord(nodeId, fencing + 1);
    }

    /** The record that the holder writes to give the lease back. */
    public LeaseRecord released() {
        return new LeaseRecord("", fencing);
    }
}
