package org.baobabcart.router.upstream;

import java.time.Duration;
import java.util.Optional;

/**
 * The availability that an upstream announces in the head of a response. Immutable.
 *
 * @param leaving whether the upstream will stop soon and accepts no new requests
 * @param retryAfter the time for which the upstream accepts no requests from this router; empty if not given
 * @param rateLimit what the response says about the upstream's rate limit
 */
public record UpstreamNotice(boolean leaving, Optional<Duration> retryAfter, RateLimitNotice rateLimit) {
    private static final UpstreamNotice NONE = new UpstreamNotice(false, Optional.empty(), RateLimitNotice.unknown());

    /** Returns the notice of a response that announces nothing. */
    public static UpstreamNotice none() {
        return NONE;
    }
}
