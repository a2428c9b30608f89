package org.baobabcart.router.key;

import java.util.Base64;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.baobabcart.model.request.RequestIds;

/**
 * The signing keys in force. Immutable.
 *
 * @param generation a number that grows by one with each rotation
 * @param secrets the keys, the one that signs first; the others only verify older tokens
 */
public record SessionSecrets(long generation, List<SessionSecret> secrets) {
    private static final int SECRET_BYTES = 32;
    private static final int RETAINED = 4;
    private static final SessionSecrets EMPTY = new SessionSecrets(0, List.of());

    /** Copies the list. */
    public SessionSecrets {
        secrets = secrets == null ? List.of() : List.copyOf(secrets);
    }

    /** No keys, as before the platform or a peer was reached. */
    public static SessionSecrets empty() {
        return EMPTY;
    }

    /** The id of the key that was made last; empty without keys. */
    public String newestId() {
        return secrets.isEmpty() ? "" : secrets.get(0).id();
    }

    /**
     * The keys after a rotation: a new one signs, the former ones still verify until they fall out.
     *
     * @param random a source of randomness that cannot be guessed
     */
    public SessionSecrets rotated(RandomGenerator random) {
        byte[] bytes = new byte[SECRET_BYTES];
        random.nextBytes(bytes);
        String encoded = Base64.getEncoder().encodeToString(bytes);
        SessionSecret fresh = new SessionSecret(RequestIds.next(), encoded);
        List<SessionSecret> kept = Stream.concat(Stream.of(fresh), secrets.stream())
                .limit(RETAINED)
                .toList();
        return new SessionSecrets(generation + 1, kept);
    }
}
