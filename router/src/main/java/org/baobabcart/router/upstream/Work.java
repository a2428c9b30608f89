package org.baobabcart.router.upstream;

import java.util.Set;

/**
 * A piece of work that asks for an upstream. Immutable.
 *
 * @param requestId the request
 * @param pool what has to run it
 * @param rank the index of its rank, zero being the most urgent
 * @param workspace whose work it is
 * @param weight the workspace's weight
 * @param targetNanos the time until which it starts as its rank promises
 * @param latestStartNanos the time after which it may not start, whatever its deadline
 * @param deadlineNanos the time until which it has to be finished
 * @param size its size, the most tokens of its answer; zero for services
 * @param affinity a text that like work shares, by which upstreams with a warm cache are found
 * @param avoid upstreams that have failed it before
 */
public record Work(
        String requestId,
        Pool pool,
        int rank,
        String workspace,
        double weight,
        long targetNanos,
        long latestStartNanos,
        long deadlineNanos,
        int size,
        String affinity,
        Set<String> avoid) {
    /** Copies the set. */
    public Work {
        avoid = Set.copyOf(avoid);
    }
}
