package org.baobabcart.router.transport;

/**
 * Counts the status lines in the bytes of a head or in a text that was decoded from it, wherever they begin. Neither shows
 * all of them: a decoder drops what follows the first white space in a line without a colon, and it joins lines when it
 * unfolds a header. Confined to its owner.
 */
final class StatusLineCounter {
    /** The beginning of a status line; {@code 0} stands for any digit. */
    private static final String PATTERN = "HTTP/0.0 000";

    private int matched;
    private int count;

    /** Returns whether a decoded text contains a status line. */
    static boolean occursIn(String text) {
        StatusLineCounter counter = new StatusLineCounter();
        text.chars().forEach(counter::read);
        return counter.count() > 0;
    }

    /** Reads the next byte or character. */
    void read(int next) {
        if (!matches(PATTERN.charAt(matched), next)) {
            // No other character of the pattern is the first one.
            matched = 0;
        }
        if (matches(PATTERN.charAt(matched), next)) {
            matched++;
        }
        if (matched == PATTERN.length()) {
            matched = 0;
            count++;
        }
    }

    private static boolean matches(char expected, int next) {
        return expected == '0' ? next >= '0' && next <= '9' : next == expected;
    }

    /** Returns the number of status lines since the last reset. */
    int count() {
        return count;
    }

    void reset() {
        matched = 0;
        count = 0;
    }
}
