package org.baobabcart.router.traffic;

import java.util.Arrays;
import java.util.Optional;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/**
 * A path of the caller API below {@code /services/}. Immutable.
 *
 * @param service the name of the service
 * @param path the path at the upstream, starting with a slash
 */
record ServicePath(String service, String path) {
    private static final String PREFIX = "/services/";

    /**
     * Parses a normalized path. Rejects paths that an upstream might resolve to a different path, because the two could
     * differ in whether they are repeatable.
     *
     * @param normalized the path without dot segments and unnecessary escapes
     */
    static ServicePath parse(String normalized) {
        if (!normalized.startsWith(PREFIX)) {
            throw BaobabcartException.of(ResultCode.UNKNOWN_PATH);
        }
        String remainder = normalized.substring(PREFIX.length());
        int slash = remainder.indexOf('/');
        String service = slash < 0 ? remainder : remainder.substring(0, slash);
        String path = slash < 0 ? "/" : remainder.substring(slash);
        Optional<String> ambiguous = Arrays.asList("//", ";", "%", "\\").stream()
                .filter(path::contains)
                .findFirst();
        if (ambiguous.isPresent()) {
            throw BaobabcartException.of(ResultCode.BAD_REQUEST, "the path may not contain " + ambiguous.get());
        }
        return new ServicePath(service, path);
    }
}
