package org.baobabcart.router.gateway;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.baobabcart.policy.hash.RendezvousHash;

/**
 * The point of a session between 0 and 1, by which all routers send it to the same version without telling each other.
 * Stateless.
 */
final class SessionPoint {
    private SessionPoint() {}

    /** The session's point, or a random one for a request without a session. */
    static double of(Optional<String> session) {
        return session.map(RendezvousHash::point)
                .orElseGet(() -> ThreadLocalRandom.current().nextDouble());
    }
}
