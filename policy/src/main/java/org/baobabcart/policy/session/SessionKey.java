package org.baobabcart.policy.session;

import java.util.Objects;

/**
 * A secret that signs session tokens. Immutable by contract: nobody changes the secret after construction.
 *
 * @param id the key's public id, which tokens name
 * @param secret the secret bytes
 */
public record SessionKey(String id, byte[] secret) {
    /** Checks that both parts are present. */
    public SessionKey {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(secret, "secret");
    }

    @Override
    public String toString() {
        return "SessionKey[" + id + "]";
    }
}
