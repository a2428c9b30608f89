package org.baobabcart.router.upstream;

import java.time.Duration;
import java.util.Optional;

/**
 * The availability that an upstream announces in the head of a response. Immutable.
 *
 * @param leaving whether the upstream will stop soon and accepts no new requests
 * @param retryAfter the time for which the upstream accepts no requests from this router; empty if not given
 * @param rateLimit what the response says about the upstream's rate limit
 * @param coldFor how long the upstream remains cold; empty if not given
 */
public record UpstreamNotice(
        boolean leaving, Optional<Duration> retryAfter, RateLimitNotice rateLimit, Optional<Duration> coldFor) {
    private static final UpstreamNotice NONE = new UpstreamNotice(false, Optional.empty(), RateLimitNotice.unknown());

    /** Creates a notice that does not say how long the upstream remains cold. */
    public UpstreamNotice(boolean leaving, Optional<Duration> retryAfter, RateLimitNotice rateLimit) {
        this(leaving, retryAfter, rateLimit, Optional.empty());
    }

    /** Returns the notice of a response that announces nothing. */
    public static UpstreamNotice none() {
        return NONE;
    }
}
