package org.baobabcart.router.transport;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Checks the syntax of response heads byte by byte as they arrive, since the decoder is lenient: it reads {@code +200} as 200, cuts the name of a header at a
 * blank and appends a line that begins with a blank to the one before. Confined to the event loop of the connection.
 *
 * <p>RFC 9112, sections 4 and 5.1: a status is three digits, and no blank stands before, in or after the name of a header.
 */
final class ResponseHeadSyntax {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d [1-5]\\d\\d ?");
    /** The version, a blank, the status and the blank before the reason phrase, which need not be there. */
    private static final int STATUS_LINE_BYTES = "HTTP/1.1 200 ".length();

    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

    private final byte[] statusLine = new byte[STATUS_LINE_BYTES];
    private int statusLineBytes;
    private Position position = Position.STATUS_LINE;
    private Optional<String> violation = Optional.empty();

    /** What the next byte belongs to. */
    private enum Position {
        STATUS_LINE,
        REASON,
        LINE_START,
        NAME,
        VALUE
    }

    /** Forgets the head that was read, before the next one. */
    void reset() {
        statusLineBytes = 0;
        position = Position.STATUS_LINE;
        violation = Optional.empty();
    }

    /** Returns why what was read is no head; empty if it may be one. */
    Optional<String> violation() {
        return violation;
    }

    /** Reads the next byte of a head. */
    void read(byte next) {
        switch (position) {
            case STATUS_LINE -> readStatusLine(next);
            case LINE_START -> readLineStart(next);
            case NAME -> readName(next);
            default -> {
                if (next == '\n') {
                    position = Position.LINE_START;
                }
            }
        }
    }

    private void readStatusLine(byte next) {
        boolean isEnd = next == '\r' || next == '\n';
        if (isEnd && statusLineBytes == 0) {
            // Empty lines before a response are skipped.
            return;
        }
        if (!isEnd) {
            statusLine[statusLineBytes++] = next;
        }
        if (isEnd || statusLineBytes == STATUS_LINE_BYTES) {
            String text = new String(statusLine, 0, statusLineBytes, StandardCharsets.ISO_8859_1);
            require(STATUS_LINE.matcher(text).matches(), "the status is not three digits from 100 to 599");
            position = next == '\n' ? Position.LINE_START : Position.REASON;
        }
    }

    private void readLineStart(byte next) {
        if (next == '\n' || next == '\r') {
            return;
        }
        position = Position.NAME;
        require(next != ':', "a header without a name");
        readName(next);
    }

    private void readName(byte next) {
        if (next == ':') {
            position = Position.VALUE;
            return;
        }
        require(isToken(next), "the name of a header is no token");
        if (next == '\n') {
            position = Position.LINE_START;
        }
    }

    private static boolean isToken(byte next) {
        boolean isLetter = next >= 'a' && next <= 'z' || next >= 'A' && next <= 'Z';
        return isLetter || next >= '0' && next <= '9' || TOKEN_SYMBOLS.indexOf(next) >= 0;
    }

    private void require(boolean condition, String description) {
        if (!condition && violation.isEmpty()) {
            violation = Optional.of(description);
        }
    }
}
