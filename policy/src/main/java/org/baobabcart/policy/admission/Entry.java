package org.baobabcart.policy.admission;

/**
 * A piece of waiting work. Immutable.
 *
 * @param rank the index of its rank, zero being the most urgent
 * @param workspace whose work it is
 * @param weight the workspace's weight, greater than zero
 * @param targetNanos the time until which it starts as its rank promises; later it is overdue
 * @param latestStartNanos the time after which it is of no use to start it
 * @param item what is started
 * @param <T> the type of what is started
 */
public record Entry<T>(int rank, String workspace, double weight, long targetNanos, long latestStartNanos, T item) {}
