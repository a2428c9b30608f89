package org.baobabcart.router.key;

import java.util.Base64;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.baobabcart.model.request.RequestIds;

/**
 * The current signing keys. Immutable.
 *
 * @param generation a number that grows by one with each rotation
 * @param secrets the keys, newest first; the newest key is the one that is to sign, the others verify older tokens
 */
public record SessionSecrets(long generation, List<SessionSecret> secrets) {
    private static final int SECRET_BYTES = 32;
    private static final int MAXIMUM_KEYS = 4;
    private static final SessionSecrets EMPTY = new SessionSecrets(0, List.of());

    /** Copies the list; a missing list becomes an empty one. */
    public SessionSecrets {
        secrets = secrets == null ? List.of() : List.copyOf(secrets);
    }

    /** Returns an empty set of keys, used until the platform or a peer has been reached. */
    public static SessionSecrets empty() {
        return EMPTY;
    }

    /** Returns the id of the newest key, or an empty string if there are no keys. */
    public String newestId() {
        return secrets.isEmpty() ? "" : secrets.get(0).id();
    }

    /**
     * Returns the keys after a rotation: a new key is added to sign, and former keys continue to verify tokens until
     * they exceed the number of retained keys.
     *
     * @param random a cryptographically secure source of randomness
     */
    public SessionSecrets rotated(RandomGenerator random) {
        byte[] bytes = new byte[SECRET_BYTES];
        random.nextBytes(bytes);
        String encoded = Base64.getEncoder().encodeToString(bytes);
        SessionSecret fresh = new SessionSecret(RequestIds.next(), encoded);
        List<SessionSecret> kept = Stream.concat(Stream.of(fresh), secrets.stream())
                .limit(MAXIMUM_KEYS)
                .toList();
        return new SessionSecrets(generation + 1, kept);
    }
}
