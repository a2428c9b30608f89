package org.baobabcart.router.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/**
 * A value in a JSON document that is located by its brackets and quotes, and parsed only on demand. Immutable by contract: the document must
 * not be modified.
 *
 * <p>A list that others write to is taken apart before it is parsed, so that an element that no parser accepts leaves its neighbours readable.
 * Locating a value needs neither recursion nor memory for its content. All failures are {@link BaobabcartException}s with {@code
 * RESPONSE_UNREADABLE}.
 */
public final class JsonSlice {
    /** The maximum depth of a value that is parsed, far below that at which recursive code overflows the smallest stack. */
    public static final int MAX_DEPTH = 100;
    /** The maximum number of digits of a number that is parsed. */
    public static final int MAX_DIGITS = 100;

    private static final ObjectMapper MAPPER = JsonMapper.builder(JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(MAX_DEPTH)
                            .maxNumberLength(MAX_DIGITS)
                            .build())
                    .build())
            .build();
    private static final int MAX_REASON_CHARACTERS = 120;

    private final byte[] document;
    private final int begin;
    private final int end;

    private JsonSlice(byte[] document, int begin, int end) {
        this.document = document;
        this.begin = begin;
        this.end = end;
    }

    /** Returns the value that a document consists of. */
    public static JsonSlice of(byte[] document) {
        JsonSlice whole = new JsonSlice(document, 0, document.length);
        int begin = whole.skipSpace(0);
        return new JsonSlice(document, begin, whole.skipValue(begin));
    }

    /** Returns the parsed value. */
    public JsonNode parse() {
        try {
            return MAPPER.readTree(document, begin, end - begin);
        } catch (JsonProcessingException exception) {
            String reason = exception.getOriginalMessage();
            throw unreadable(
                            begin,
                            reason.length() > MAX_REASON_CHARACTERS
                                    ? reason.substring(0, MAX_REASON_CHARACTERS)
                                    : reason)
                    .withCause(exception);
        } catch (IOException exception) {
            throw unreadable(begin, "not readable").withCause(exception);
        }
    }

    /** Returns the members of an object by name, in their order; the last one counts if a name occurs twice. */
    public Map<String, JsonSlice> members() {
        Map<String, JsonSlice> members = new LinkedHashMap<>();
        int position = enter('{');
        while (byteAt(position) != '}') {
            int nameEnd = skipValue(position);
            String name = new JsonSlice(document, position, nameEnd).parse().asText();
            int colon = skipSpace(nameEnd);
            if (byteAt(colon) != ':') {
                throw unreadable(colon, "a colon is expected");
            }
            int valueBegin = skipSpace(colon + 1);
            int valueEnd = skipValue(valueBegin);
            members.put(name, new JsonSlice(document, valueBegin, valueEnd));
            position = skipSeparator(valueEnd, '}');
        }
        return members;
    }

    /** Returns the elements of an array. */
    public List<JsonSlice> elements() {
        List<JsonSlice> elements = new ArrayList<>();
        int position = enter('[');
        while (byteAt(position) != ']') {
            int elementEnd = skipValue(position);
            elements.add(new JsonSlice(document, position, elementEnd));
            position = skipSeparator(elementEnd, ']');
        }
        return elements;
    }

    private int enter(char bracket) {
        if (byteAt(begin) != bracket) {
            throw unreadable(begin, "'" + bracket + "' is expected");
        }
        return skipSpace(begin + 1);
    }

    /** Returns the position of the next member or element, or of the closing bracket. */
    private int skipSeparator(int from, char closing) {
        int position = skipSpace(from);
        if (byteAt(position) == ',') {
            return skipSpace(position + 1);
        }
        if (byteAt(position) != closing) {
            throw unreadable(position, "',' or '" + closing + "' is expected");
        }
        return position;
    }

    private int skipValue(int from) {
        return switch (byteAt(from)) {
            case '"' -> skipString(from);
            case '{', '[' -> skipContainer(from);
            default -> skipScalar(from);
        };
    }

    private int skipString(int from) {
        int position = from + 1;
        while (byteAt(position) != '"') {
            position += byteAt(position) == '\\' ? 2 : 1;
        }
        return position + 1;
    }

    private int skipContainer(int from) {
        int depth = 0;
        int position = from;
        do {
            switch (byteAt(position)) {
                case '"' -> position = skipString(position) - 1;
                case '{', '[' -> depth++;
                case '}', ']' -> depth--;
                default -> {}
            }
            position++;
        } while (depth > 0);
        return position;
    }

    private int skipScalar(int from) {
        int position = from;
        while (position < end && ",]}: \t\r\n".indexOf(document[position]) < 0) {
            position++;
        }
        if (position == from) {
            throw unreadable(from, "a value is expected");
        }
        return position;
    }

    private int skipSpace(int from) {
        int position = from;
        while (position < end && " \t\r\n".indexOf(document[position]) >= 0) {
            position++;
        }
        return position;
    }

    private byte byteAt(int position) {
        if (position >= end) {
            throw unreadable(position, "the document ends early");
        }
        return document[position];
    }

    private static BaobabcartException unreadable(int position, String reason) {
        return BaobabcartException.of(ResultCode.RESPONSE_UNREADABLE, reason).withLocation("byte " + position);
    }
}
