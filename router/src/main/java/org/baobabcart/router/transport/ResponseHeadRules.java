package org.baobabcart.router.transport;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Detects response heads that were put together from more than one message. When the beginning of a head is followed by
 * a whole response, the status line of that response ends up in the reason phrase or in a header line, which a decoder
 * accepts. {@link ResponseBoundary} finds those that the decoder drops. Stateless.
 */
final class ResponseHeadRules {
    /** A token as defined by RFC 9110, section 5.6.2. */
    private static final Pattern TOKEN = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");

    private ResponseHeadRules() {}

    /** Returns why a head cannot be the head of a single response; empty if it can. */
    static Optional<String> violationOf(HttpResponse response) {
        HttpVersion version = response.protocolVersion();
        if (!HttpVersion.HTTP_1_1.equals(version) && !HttpVersion.HTTP_1_0.equals(version)) {
            return Optional.of("the response has an unsupported version");
        }
        if (StatusLineCounter.occursIn(response.status().reasonPhrase())) {
            return Optional.of("the reason phrase contains a status line");
        }
        for (Map.Entry<String, String> header : response.headers()) {
            if (!TOKEN.matcher(header.getKey()).matches()) {
                return Optional.of("a line of the head is no header");
            }
            if (StatusLineCounter.occursIn(header.getValue())) {
                return Optional.of("a header contains a status line");
            }
        }
        return response.headers().getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1
                ? Optional.of("the head declares more than one length")
                : Optional.empty();
    }
}
