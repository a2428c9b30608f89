package org.baobabcart.router.exchange;

import io.netty.buffer.ByteBuf;
import org.baobabcart.policy.admission.HeadBudget;

/**
 * Finds the end of a request's head, in the way of the HTTP parser: lines end with LF, and a CR before it belongs to the end. Confined to
 * its owner.
 *
 * <p>Joins folded lines in place, as RFC 9112 (5.2) allows, since the parser would copy the whole value once for each of them.
 */
final class RequestHeadScanner {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    /** The request line and the first header line: neither continues a header. */
    private static final int LINES_BEFORE_FOLDS = 2;

    private int lineStart;
    private int searched;
    private int lines;

    /** Returns the number of bytes of empty lines, which may precede a request, that the buffer begins with. */
    static int emptyLineBytes(ByteBuf buffer) {
        int end = buffer.readerIndex();
        while (end < buffer.writerIndex() && isLineEnd(buffer.getByte(end))) {
            end++;
        }
        return end - buffer.readerIndex();
    }

    /** Returns the number of lines that end within the next bytes of a buffer. */
    static int countLines(ByteBuf buffer, int bytes) {
        int lines = 0;
        for (int index = buffer.readerIndex(); index < buffer.readerIndex() + bytes; index++) {
            if (buffer.getByte(index) == LINE_FEED) {
                lines++;
            }
        }
        return lines;
    }

    private static boolean isLineEnd(byte next) {
        return next == LINE_FEED || next == CARRIAGE_RETURN;
    }

    /**
     * Continues the search in a buffer that begins with the head and has grown since the last call.
     *
     * @return the size of the head; a negative number if its end has not arrived
     */
    int scan(ByteBuf buffer) {
        int begin = buffer.readerIndex();
        int readable = buffer.readableBytes();
        while (searched < readable) {
            int lineFeed = buffer.indexOf(begin + searched, begin + readable, LINE_FEED) - begin;
            if (lineFeed < 0) {
                searched = readable;
                return -1;
            }
            if (isEmpty(buffer, begin, lineFeed)) {
                return lineFeed + 1;
            }
            unfold(buffer, begin);
            lines++;
            lineStart = lineFeed + 1;
            searched = lineStart;
        }
        return -1;
    }

    private boolean isEmpty(ByteBuf buffer, int begin, int lineFeed) {
        int length = lineFeed - lineStart;
        return length == 0 || length == 1 && buffer.getByte(begin + lineStart) == CARRIAGE_RETURN;
    }

    private void unfold(ByteBuf buffer, int begin) {
        if (lines < LINES_BEFORE_FOLDS || !isBlank(buffer.getByte(begin + lineStart))) {
            return;
        }
        for (int index = begin + lineStart - 1; isLineEnd(buffer.getByte(index)); index--) {
            buffer.setByte(index, ' ');
        }
    }

    private static boolean isBlank(byte next) {
        return next == ' ' || next == '\t';
    }

    /** Returns whether nothing of a head has been found. */
    boolean isAtBeginning() {
        return searched == 0;
    }

    /** Returns the head whose end was found. */
    HeadBudget.Head head(int bytes) {
        return new HeadBudget.Head(bytes, lines);
    }

    /** Begins with the next head. */
    void reset() {
        lineStart = 0;
        searched = 0;
        lines = 0;
    }
}
