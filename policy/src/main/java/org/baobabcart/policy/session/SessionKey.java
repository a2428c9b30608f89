package org.baobabcart.policy.session;

import java.util.Objects;

/**
 * A key that signs session tokens. Immutable by contract: the secret must not be modified after construction.
 *
 * @param id the public id of the key, which is part of its tokens
 * @param secret the secret bytes
 */
public record SessionKey(String id, byte[] secret) {
    /** Checks that both components are present. */
    public SessionKey {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(secret, "secret");
    }

    @Override
    public String toString() {
        return "SessionKey[" + id + "]";
    }
}
