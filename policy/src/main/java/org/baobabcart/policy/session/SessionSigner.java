package org.baobabcart.policy.session;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Signs and verifies session tokens, so that every router with the keys accepts a token without shared state.
 *
 * <p>The first key signs; all keys verify, so that keys can be rotated without ending sessions. The signature is
 * HMAC-SHA-256 (RFC 2104) and is compared in constant time. Immutable and thread-safe.
 */
public final class SessionSigner {
    private static final String PREFIX = "bcs1.";
    private static final String ALGORITHM = "HmacSHA256";
    private static final String SEPARATOR = "\n";
    private static final char VERSION_SEPARATOR = '@';
    private static final int PARTS = 3;

    private final List<SessionKey> keys;

    private SessionSigner(List<SessionKey> keys) {
        this.keys = List.copyOf(keys);
    }

    /** Returns a signer that signs with the first key; without keys it signs no tokens and accepts none. */
    public static SessionSigner of(List<SessionKey> keys) {
        return new SessionSigner(keys);
    }

    /** Returns whether the value of a session header is a token rather than a name chosen by the caller. */
    public static boolean isToken(String text) {
        return text.startsWith(PREFIX);
    }

    /** Returns the signed text of a token, or empty if there is no key. */
    public Optional<String> sign(SessionToken token) {
        return keys.stream().findFirst().map(key -> {
            String content = key.id() + "." + encode(content(token).getBytes(StandardCharsets.UTF_8));
            return PREFIX + content + "." + encode(signature(key, content));
        });
    }

    /** Returns the token of a signed text, or empty if the text is malformed, forged or signed by an unknown key. */
    public Optional<SessionToken> verify(String text) {
        if (!isToken(text)) {
            return Optional.empty();
        }
        String[] parts = text.substring(PREFIX.length()).split("\\.", -1);
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        return keys.stream()
                .filter(key -> key.id().equals(parts[0]))
                .filter(key -> equalsInConstantTime(signature(key, parts[0] + "." + parts[1]), parts[2]))
                .findFirst()
                .flatMap(key -> parse(parts[1]));
    }

    /** Returns whether there is any key. */
    public boolean hasKeys() {
        return !keys.isEmpty();
    }

    /** Returns the token of a text without verifying the signature, or empty if the text is malformed. */
    public static Optional<SessionToken> readUnverified(String text) {
        String[] parts = text.substring(PREFIX.length()).split("\\.", -1);
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            return parse(parts[1]);
        } catch (IllegalArgumentException exception) {
            return Optional.empty();
        }
    }

    private static boolean equalsInConstantTime(byte[] expected, String actual) {
        return MessageDigest.isEqual(
                encode(expected).getBytes(StandardCharsets.US_ASCII), actual.getBytes(StandardCharsets.UTF_8));
    }

    private static Optional<SessionToken> parse(String encoded) {
        byte[] content = Base64.getUrlDecoder().decode(encoded);
        String[] lines = new String(content, StandardCharsets.UTF_8).split(SEPARATOR, -1);
        SessionToken token = SessionToken.create(lines[0]);
        for (int index = 1; index < lines.length; index++) {
            int separator = lines[index].indexOf(VERSION_SEPARATOR);
            if (separator < 0) {
                return Optional.empty();
            }
            token = token.withVersion(lines[index].substring(0, separator), lines[index].substring(separator + 1));
        }
        return Optional.of(token);
    }

    private static String content(SessionToken token) {
        StringBuilder content = new StringBuilder(token.workspace());
        token.versions()
                .forEach((model, version) -> content.append(SEPARATOR)
                        .append(model)
                        .append(VERSION_SEPARATOR)
                        .append(version));
        return content.toString();
    }

    private static String encode(byte[] bytes) {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }

    private static byte[] signature(SessionKey key, String content) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key.secret(), ALGORITHM));
            return mac.doFinal(content.getBytes(StandardCharsets.UTF_8));
        } catch (GeneralSecurityException exception) {
            throw new IllegalStateException(
                    "HMAC-SHA-256 is not available, though every Java platform has to support it", exception);
        }
    }
}
