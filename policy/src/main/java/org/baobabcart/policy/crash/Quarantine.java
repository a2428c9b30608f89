package org.baobabcart.policy.crash;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * Keys of {@link RequestFingerprint}s that together crash upstreams: a request with all of them is not sent. Several keys are kept
 * while the crashes do not tell which of them is the cause. Immutable.
 *
 * @param keys the keys, never empty
 */
public record Quarantine(Set<String> keys) {
    /** Copies the set. */
    public Quarantine {
        keys = Set.copyOf(keys);
    }

    /** Returns whether a request has all keys. */
    boolean covers(Collection<String> requestKeys) {
        return requestKeys.containsAll(keys);
    }

    /** Returns the keys in a fixed order, separated by commas. */
    public String name() {
        return String.join(",", new TreeSet<>(keys));
    }
}
