package org.baobabcart.policy.claim;

import java.util.Map;
import java.util.TreeMap;

/**
 * The answer of a finished call as stored in a journal. Immutable.
 *
 * @param status the HTTP status
 * @param headers the headers to replay
 * @param body the body in Base64, empty if it was too large to store
 * @param bodyOmitted whether the body was too large to store; status and headers are replayed without it
 */
public record JournaledAnswer(int status, Map<String, String> headers, String body, boolean bodyOmitted) {
    /** The maximum size, in characters of headers and Base64 body, of an answer that is stored completely. */
    public static final int MAX_CHARACTERS = 4096;

    private static final int FIXED_CHARACTERS = 128;
    private static final int CHARACTERS_PER_HEADER = 8;
    private static final int MAX_ESCAPE_LENGTH = 6;

    /** Copies the headers. */
    public JournaledAnswer {
        headers = Map.copyOf(headers);
    }

    /** Stores a complete answer if it is small enough, otherwise omits the body and, if necessary, the headers. */
    public static JournaledAnswer of(int status, Map<String, String> headers, String body) {
        JournaledAnswer complete = new JournaledAnswer(status, headers, body, false);
        if (complete.characters() <= MAX_CHARACTERS) {
            return complete;
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

    /** Returns an upper bound on the size of the answer in a journal, in bytes. */
    public int characters() {
        int headerCharacters = headers.entrySet().stream()
                .mapToInt(header -> CHARACTERS_PER_HEADER + escaped(header.getKey()) + escaped(header.getValue()))
                .sum();
        return FIXED_CHARACTERS + headerCharacters + body.length();
    }

    /** Counts each character that is escaped in JSON or encoded as several bytes in UTF-8 as the longest escape. */
    private static int escaped(String text) {
        return text.chars()
                .map(character -> character >= ' ' && character < '\u007f' && character != '"' && character != '\\'
                        ? 1
                        : MAX_ESCAPE_LENGTH)
                .sum();
    }
}
