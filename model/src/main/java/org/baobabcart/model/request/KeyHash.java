package org.baobabcart.model.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 digests of keys and other texts, which are stored and compared in their place. Thread-safe. */
public final class KeyHash {
    private KeyHash() {}

    /** Returns the SHA-256 digest of a text in lower-case hexadecimal. */
    public static String of(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must support it", exception);
        }
    }
}
