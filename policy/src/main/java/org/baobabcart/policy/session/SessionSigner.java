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
 * Signs session tokens and checks them, so that any router that knows the keys honours a token without shared state.
 *
 * <p>The first key signs; every key is accepted, so that keys can be replaced without ending sessions. The signature is
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

    /** A signer with keys, the signing one first; without keys it issues no tokens and accepts none. */
    public static SessionSigner of(List<SessionKey> keys) {
        return new SessionSigner(keys);
    }

    /** Whether a session header holds a token rather than a name of the caller's own. */
    public static boolean isToken(String text) {
        return text.startsWith(PREFIX);
    }

    /** The signed text of a token; empty where there is no key. */
    public Optional<String> sign(SessionToken token) {
        return keys.stream().findFirst().map(key -> {
            String content = key.id() + "." + encode(content(token).getBytes(StandardCharsets.UTF_8));
            return PREFIX + content + "." + encode(signature(key, content));
        });
    }

    /** The token of a signed text; empty if it is damaged, forged or signed by an unknown key. */
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
                .filter(key -> matches(signature(key, parts[0] + "." + parts[1]), parts[2]))
                .findFirst()
                .flatMap(key -> read(parts[1]));
    }

    /** Whether there is any key. */
    public boolean hasKeys() {
        return !keys.isEmpty();
    }

    /** The token of a text whose signature is not looked at; empty if it is damaged. */
    public static Optional<SessionToken> readUnverified(String text) {
        String[] parts = text.substring(PREFIX.length()).split("\\.", -1);
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            return read(parts[1]);
        } catch (IllegalArgumentException exception) {
            return Optional.empty();
        }
    }

    private static boolean matches(byte[] expected, String given) {
        return MessageDigest.isEqual(
                encode(expected).getBytes(StandardCharsets.US_ASCII), given.getBytes(StandardCharsets.UTF_8));
    }

    private static Optional<SessionToken> read(String encoded) {
        byte[] content = Base64.getUrlDecoder().decode(encoded);
        String[] lines = new String(content, StandardCharsets.UTF_8).split(SEPARATOR, -1);
        SessionToken token = SessionToken.fresh(lines[0]);
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
            throw new IllegalStateException("HMAC-SHA-256 is required of every Java platform", exception);
        }
    }
}
