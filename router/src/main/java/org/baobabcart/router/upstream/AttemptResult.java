package org.baobabcart.router.upstream;

import java.util.Optional;
import java.util.OptionalLong;
import org.baobabcart.policy.retry.FailureKind;

/**
 * What an attempt showed about its upstream. Immutable.
 *
 * @param failure how it failed; empty for success and for work that was given up on this side
 * @param latencyNanos the time to the first byte, if one came
 * @param load the load that the upstream reported, {@code running/waiting/slots}
 */
public record AttemptResult(Optional<FailureKind> failure, OptionalLong latencyNanos, Optional<String> load) {
    /** An attempt that was not sent or that this side ended. */
    public static AttemptResult withoutEvidence() {
        return new AttemptResult(Optional.empty(), OptionalLong.empty(), Optional.empty());
    }

    /** A finished attempt. */
    public static AttemptResult success(long latencyNanos, Optional<String> load) {
        return new AttemptResult(Optional.empty(), OptionalLong.of(latencyNanos), load);
    }

    /** A failed attempt. */
    public static AttemptResult failure(FailureKind kind) {
        return new AttemptResult(Optional.of(kind), OptionalLong.empty(), Optional.empty());
    }
}
