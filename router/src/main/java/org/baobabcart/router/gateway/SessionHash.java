package org.baobabcart.router.gateway;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.baobabcart.policy.hash.RendezvousHash;

/**
 * Maps a session to a number between 0 and 1, by which all routers send it to the same version without coordination.
 * Stateless.
 */
final class SessionHash {
    private SessionHash() {}

    /**
     * Returns the hash of a request's session, from 0 (inclusive) to 1 (exclusive). For a request without a session it is derived
     * from the last part of the prompt, which belongs to that request or its session only; without a prompt it is random.
     */
    static double of(RequestHead head) {
        Optional<String> lastPart = head.prefix().isEmpty()
                ? Optional.empty()
                : Optional.of(head.prefix().get(head.prefix().size() - 1).id());
        return head.session()
                .or(() -> lastPart)
                .map(RendezvousHash::unitHash)
                .orElseGet(() -> ThreadLocalRandom.current().nextDouble());
    }
}
