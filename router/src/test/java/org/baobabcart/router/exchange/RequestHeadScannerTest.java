package org.baobabcart.router.exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class RequestHeadScannerTest {
    private static final String HEAD = "GET / HTTP/1.1\r\nHost: a\nb: c\r\n d\r\n\te\r\n\r\n";
    private static final String UNFOLDED = "GET / HTTP/1.1\r\nHost: a\nb: c   d  \te\r\n\r\n";

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    @Test
    void endIsFoundWhereverTheHeadIsCut() {
        for (int first = 0; first <= HEAD.length(); first++) {
            for (int second = first; second <= HEAD.length(); second++) {
                findEnd(first, second);
            }
        }
    }

    private static void findEnd(int first, int second) {
        RequestHeadScanner scanner = new RequestHeadScanner();
        ByteBuf received = Unpooled.buffer();
        String all = HEAD + "next";
        received.writeBytes(bytes(all.substring(0, first)));
        assertThat(scanner.scan(received), is(first < HEAD.length() ? -1 : HEAD.length()));
        received.writeBytes(bytes(all.substring(first, second)));
        assertThat(scanner.scan(received), is(second < HEAD.length() ? -1 : HEAD.length()));
        received.writeBytes(bytes(all.substring(second)));
        assertThat(scanner.scan(received), is(HEAD.length()));
        assertThat(received.toString(StandardCharsets.ISO_8859_1), is(UNFOLDED + "next"));
        assertThat(scanner.head(HEAD.length()).lines(), is(5));
    }

    @Test
    void lineThatFollowsTheRequestLineIsNoContinuation() {
        ByteBuf head = bytes("GET / HTTP/1.1\r\n a: b\r\n\r\n");
        new RequestHeadScanner().scan(head);
        assertThat(head.toString(StandardCharsets.ISO_8859_1), is("GET / HTTP/1.1\r\n a: b\r\n\r\n"));
    }

    @Test
    void emptyLinesBeforeTheHeadAreCounted() {
        assertThat(RequestHeadScanner.emptyLineBytes(bytes("\r\n\n\r\nGET /")), is(5));
    }
}
