package org.baobabcart.policy.claim;

import org.baobabcart.model.request.KeyHash;

/**
 * The identity of a claim: a digest of workspace, service and idempotency key, so that journals hold no caller's key.
 * Immutable.
 *
 * @param digest 128 bits of a SHA-256 digest in hexadecimal
 */
public record ClaimKey(String digest) {
    private static final int DIGEST_CHARACTERS = 32;
    private static final int PARTITION_CHARACTERS = 7;
    private static final int HEXADECIMAL = 16;

    /** The key of one call; the lengths keep different triples from having the same text. */
    public static ClaimKey of(String workspace, String service, String idempotencyKey) {
        String text = workspace.length() + ":" + workspace + service.length() + ":" + service + idempotencyKey;
        return new ClaimKey(KeyHash.of(text).substring(0, DIGEST_CHARACTERS));
    }

    /** The partition of the key, from zero to one below the number of partitions. */
    public int partition(int partitions) {
        return Integer.parseInt(digest.substring(0, PARTITION_CHARACTERS), HEXADECIMAL) % partitions;
    }
}
