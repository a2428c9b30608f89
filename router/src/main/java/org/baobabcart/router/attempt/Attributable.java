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
     * Returns whether the number of copies of the request that run at once is limited until one of them is answered, whether or not
     * anything has crashed.
     */
    default boolean limitsCopies() {
        return false;
    }

    /** Returns the ids of the parts of the prompt that other requests may share, in order. */
    default List<String> promptParts() {
        return List.of();
    }
}
