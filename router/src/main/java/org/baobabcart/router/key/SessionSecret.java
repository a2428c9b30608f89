package org.baobabcart.router.key;

/**
 * A signing key. Immutable.
 *
 * @param id the key's public id
 * @param secret the secret in Base64
 */
public record SessionSecret(String id, String secret) {
    @Override
    public String toString() {
        return "SessionSecret[" + id + "]";
    }
}
