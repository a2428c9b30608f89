package org.baobabcart.router.traffic;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.baobabcart.model.request.KeyHash;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.Workspace;

/** Authenticates callers by their API keys. */
final class Authenticator {
    private static final String SCHEME = "Bearer ";

    private Authenticator() {}

    /**
     * Returns the workspace that the key in the header belongs to. Compares all digests, each in constant time, even
     * after one has matched.
     *
     * @param authorization the value of the header, or null
     */
    static Workspace authenticate(Sheet sheet, String authorization) {
        if (authorization == null || !authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            throw BaobabcartException.of(ResultCode.UNKNOWN_KEY, "send Authorization: Bearer KEY");
        }
        String key = authorization.substring(SCHEME.length()).trim();
        byte[] digest = KeyHash.of(key).getBytes(StandardCharsets.US_ASCII);
        Workspace found = null;
        for (Workspace workspace : sheet.workspaces()) {
            for (String keyHash : workspace.keyHashes()) {
                if (MessageDigest.isEqual(digest, keyHash.getBytes(StandardCharsets.US_ASCII))) {
                    found = workspace;
                }
            }
        }
        if (found == null) {
            throw BaobabcartException.of(ResultCode.UNKNOWN_KEY);
        }
        return found;
    }
}
