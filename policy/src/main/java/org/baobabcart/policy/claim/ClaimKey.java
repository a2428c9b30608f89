package org.baobabcart.policy.claim;

import org.baobabcart.model.request.KeyHash;

/**
 * The identity of a claim: a digest of workspace, service and idempotency key, so that journals do not contain the keys
 * of callers. Immutable.
 *
 * @param digest the first 128 bits of a SHA-256 digest, in hexadecimal
 */
public record ClaimKey(String digest) {
    private static final int DIGEST_CHARACTERS = 32;
    private static final int PARTITION_CHARACTERS = 7;
    private static final int HEXADECIMAL = 16;

    /**
     * Creates the key of a call. The lengths in the digested text prevent different inputs from having the same text.
     */
    public static ClaimKey of(String workspace, String service, String idempotencyKey) {
        String text = workspace.length() + ":" + workspace + service.length() + ":" + service + idempotencyKey;
        return new ClaimKey(KeyHash.of(text).substring(0, DIGEST_CHARACTERS));
    }

    /** Returns the partition of the key, from 0 to {@code partitions - 1}. */
    public int partition(int partitions) {
        return Integer.parseInt(digest.substring(0, PARTITION_CHARACTERS), HEXADECIMAL) % partitions;
    }
}
