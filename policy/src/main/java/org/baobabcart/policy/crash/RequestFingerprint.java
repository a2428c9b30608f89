package org.baobabcart.policy.crash;

import java.util.List;
import java.util.stream.Stream;

/**
 * What identifies a request in the attribution of crashes: the request itself and the parts of its prompt that other requests may
 * have in common with it. Immutable.
 *
 * @param request a digest that is the same whenever the same request is sent
 * @param parts the ids of the parts of the prompt that may be shared, in order
 */
public record RequestFingerprint(String request, List<String> parts) {
    /** Copies the list. */
    public RequestFingerprint {
        parts = List.copyOf(parts);
    }

    /** Returns the fingerprint of a request whose prompt has no known parts. */
    public static RequestFingerprint of(String request) {
        return new RequestFingerprint(request, List.of());
    }

    /** Returns the request and the parts. */
    public List<String> keys() {
        return Stream.concat(parts.stream(), Stream.of(request)).toList();
    }
}
