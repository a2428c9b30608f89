package org.baobabcart.policy.claim;

import java.util.Map;
import java.util.TreeMap;

/**
 * The answer of a finished call as a journal keeps it. Immutable.
 *
 * @param status the HTTP status
 * @param headers the headers that are replayed
 * @param body the body in Base64, empty if it was too large to keep
 * @param bodyOmitted whether the body was too large to keep; status and headers are replayed without it
 */
public record JournaledAnswer(int status, Map<String, String> headers, String body, boolean bodyOmitted) {
    /** Largest answer, in characters of headers and Base64 body, that is kept whole. */
    public static final int MAX_CHARACTERS = 4096;

    private static final int FIXED_CHARACTERS = 128;
    private static final int CHARACTERS_PER_HEADER = 8;
    private static final int MAX_ESCAPE_LENGTH = 6;

    /** Copies the headers. */
    public JournaledAnswer {
        headers = Map.copyOf(headers);
    }

    /** Keeps an answer whole if it is small enough, otherwise without its body and, if need be, its headers. */
    public static JournaledAnswer of(int status, Map<String, String> headers, String body) {
        JournaledAnswer whole = new JournaledAnswer(status, headers, body, false);
        if (whole.characters() <= MAX_CHARACTERS) {
            return whole;
        }
        Map<String, String> kept = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        kept.putAll(headers);
        kept.remove("Content-Length");
        kept.remove("Content-Type");
        JournaledAnswer withoutBody = new JournaledAnswer(status, kept, "", true);
        if (withoutBody.characters() <= MAX_CHARACTERS) {
            return withoutBody;
        }
        return new JournaledAnswer(status, Map.of(), "", true);
    }

    /** At most how many bytes the answer takes in a journal. */
    public int characters() {
        int headerCharacters = headers.entrySet().stream()
                .mapToInt(header -> CHARACTERS_PER_HEADER + escaped(header.getKey()) + escaped(header.getValue()))
                .sum();
        return FIXED_CHARACTERS + headerCharacters + body.length();
    }

    /** Characters that JSON escapes or UTF-8 spreads over several bytes are counted as the longest escape. */
    private static int escaped(String text) {
        return text.chars()
                .map(character -> character >= ' ' && character < '\u007f' && character != '"' && character != '\\'
                        ? 1
                        : MAX_ESCAPE_LENGTH)
                .sum();
    }
}
