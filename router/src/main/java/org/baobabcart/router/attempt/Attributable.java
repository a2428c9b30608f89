package org.baobabcart.router.attempt;

import java.util.List;
import java.util.Optional;
import org.baobabcart.policy.crash.RequestFingerprint;

/** A request to which crashes of upstreams can be attributed. */
public interface Attributable {
    /** Returns the fingerprint, which may be costly to compute; empty if crashes are not attributed to the request. */
    default Optional<RequestFingerprint> fingerprint() {
        return Optional.empty();
    }

    /**
     * Returns whether sound requests rarely have the same fingerprint. If so, the copies of a request that run at once are limited
     * until one of them is answered, and connections that break count even if their upstream lives on.
     */
    default boolean isFingerprintDistinctive() {
        return false;
    }

    /** Returns the ids of the parts of the prompt that other requests may share, in order. */
    default List<String> promptParts() {
        return List.of();
    }
}
