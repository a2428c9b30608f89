package org.baobabcart.model.request;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Texts in values of HTTP headers, which are sent as UTF-8. An HTTP library writes each character of a value as one byte, and a question mark
 * for characters beyond ISO 8859-1, so that different texts could become equal.
 */
public final class HeaderText {
    private static final char FIRST_PRINTABLE = ' ';
    private static final char DELETE = 0x7f;

    private HeaderText() {}

    /**
     * Returns whether a text arrives as it is: it is not empty, has no control characters, no blanks at its ends, which receivers strip, and
     * no surrogates without their pair.
     */
    public static boolean isSendable(String text) {
        if (text.isEmpty() || !text.equals(text.strip())) {
            return false;
        }
        return text.chars().noneMatch(character -> character < FIRST_PRINTABLE || character == DELETE)
                && StandardCharsets.UTF_8.newEncoder().canEncode(text);
    }

    /** Returns a text whose characters are the bytes of the given text in UTF-8. A text of ASCII characters is unchanged. */
    public static String encode(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    /** Returns the text that a received value stands for; a value that is not UTF-8 is taken as ISO 8859-1. */
    public static String decode(String value) {
        try {
            ByteBuffer bytes = ByteBuffer.wrap(value.getBytes(StandardCharsets.ISO_8859_1));
            CharBuffer text = StandardCharsets.UTF_8.newDecoder().decode(bytes);
            return text.toString();
        } catch (CharacterCodingException notUtf8) {
            return value;
        }
    }
}
