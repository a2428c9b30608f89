package org.baobabcart.policy.admission;

/**
 * A queued piece of work. Immutable.
 *
 * @param rank the index of the rank, zero being the most urgent
 * @param workspace the workspace that the work belongs to
 * @param weight the workspace's weight, greater than zero
 * @param targetNanos the time by which the work has to start to meet the target of its rank; afterwards it is overdue
 * @param latestStartNanos the time after which the work is refused instead of started
 * @param item the work itself
 * @param <T> the type of the work
 */
public record QueueEntry<T>(
        int rank, String workspace, double weight, long targetNanos, long latestStartNanos, T item) {}
