package org.baobabcart.router.traffic;

import java.util.Arrays;
import java.util.Optional;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/**
 * A path of the caller API below {@code /services/}. Immutable.
 *
 * @param service the service's name
 * @param path the path for the upstream, beginning with a slash
 */
record ServicePath(String service, String path) {
    private static final String PREFIX = "/services/";

    /**
     * Reads a normalised path. A path that an upstream may read as another one is refused, since the two might differ in
     * whether they may be repeated.
     *
     * @param normalized the path without dot segments and needless escapes
     */
    static ServicePath parse(String normalized) {
        if (!normalized.startsWith(PREFIX)) {
            throw BaobabcartException.of(ResultCode.UNKNOWN_PATH);
        }
        String rest = normalized.substring(PREFIX.length());
        int slash = rest.indexOf('/');
        String service = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        Optional<String> ambiguous = Arrays.asList("//", ";", "%", "\\").stream()
                .filter(path::contains)
                .findFirst();
        if (ambiguous.isPresent()) {
            throw BaobabcartException.of(ResultCode.BAD_REQUEST, "the path may not contain " + ambiguous.get());
        }
        return new ServicePath(service, path);
    }
}
