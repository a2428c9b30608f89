package org.baobabcart.router.upstream;

import java.util.HashSet;
import java.util.Set;

/**
 * A request for a slot at an upstream. Immutable.
 *
 * @param requestId the id of the request
 * @param pool the pool of upstreams that can serve the request
 * @param rank the index of the rank; zero is the most urgent
 * @param workspace the workspace that the request belongs to
 * @param weight the weight of the workspace
 * @param targetNanos the time by which the request should start according to its rank
 * @param latestStartNanos the time after which the request may not start, whatever its deadline
 * @param deadlineNanos the time by which the response must be complete
 * @param size the maximum number of tokens in the response; zero for services
 * @param affinity a key shared by similar requests, used to find upstreams with a warm cache
 * @param avoidedUpstreams the upstreams at which an attempt has failed
 * @param cachedPrefixGainNanos the time that an upstream saves that has cached the shared parts of the prompt; {@link
 *     #UNKNOWN_GAIN} if unknown
 */
public record SlotRequest(
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
        Set<String> avoidedUpstreams,
        long cachedPrefixGainNanos) {
    /** The gain of a cached prefix if it is unknown. */
    public static final long UNKNOWN_GAIN = Long.MAX_VALUE;

    /** Copies the set. */
    public SlotRequest {
        avoidedUpstreams = Set.copyOf(avoidedUpstreams);
    }

    /** Returns a copy that avoids more upstreams. */
    public SlotRequest withAvoided(Set<String> more) {
        if (more.isEmpty()) {
            return this;
        }
        Set<String> all = new HashSet<>(avoidedUpstreams);
        all.addAll(more);
        return new SlotRequest(
                requestId,
                pool,
                rank,
                workspace,
                weight,
                targetNanos,
                latestStartNanos,
                deadlineNanos,
                size,
                affinity,
                all,
                cachedPrefixGainNanos);
    }
}
