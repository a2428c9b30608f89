package org.baobabcart.router.gateway;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.baobabcart.policy.hash.RendezvousHash;

/**
 * The point of a session between 0 and 1, by which all routers send it to the same version without telling each other.
 * Stateless.
 */
final class SessionHash {
    private SessionHash() {}

    /**
     * The point of a request's session. Where it names none, the last part of its prompt stands for it: that part belongs to the
     * request alone or to its session. A request without either gets a random one.
     */
    static double of(RequestHead head) {
        Optional<String> lastPart = head.prefix().isEmpty()
                ? Optional.empty()
                : Optional.of(head.prefix().get(head.prefix().size() - 1).id());
        return head.session()
                .or(() -> lastPart)
                .map(RendezvousHash::point)
                .orElseGet(() -> ThreadLocalRandom.current().nextDouble());
    }
}
