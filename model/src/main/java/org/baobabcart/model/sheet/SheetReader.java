package org.baobabcart.model.sheet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;
import java.util.stream.Collectors;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/** Reads sheets from JSON and validates them. Thread-safe; instances may be shared. */
public final class SheetReader {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .build();

    private SheetReader() {}

    /** Creates a reader. */
    public static SheetReader create() {
        return new SheetReader();
    }

    /**
     * Reads and validates a sheet.
     *
     * @throws BaobabcartException with {@link ResultCode#SHEET_INVALID} and a message that lists every problem with its path
     */
    public Sheet read(String json) {
        try {
            return checked(MAPPER.readValue(json, Sheet.class));
        } catch (JsonProcessingException exception) {
            throw unreadable(exception);
        }
    }

    /** Reads and validates a sheet from a tree; see {@link #read(String)}. */
    public Sheet read(JsonNode json) {
        try {
            return checked(MAPPER.treeToValue(json, Sheet.class));
        } catch (JsonProcessingException exception) {
            throw unreadable(exception);
        }
    }

    /** Converts a sheet to a tree that {@link #read(JsonNode)} accepts. */
    public JsonNode write(Sheet sheet) {
        return MAPPER.valueToTree(sheet);
    }

    /** Returns all problems of a parsed sheet; empty if it is valid. */
    public List<SheetProblem> check(Sheet sheet) {
        return SheetValidator.of(sheet).problems();
    }

    private Sheet checked(Sheet sheet) {
        if (sheet == null) {
            throw BaobabcartException.of(ResultCode.SHEET_INVALID, "$: the sheet is null");
        }
        List<SheetProblem> problems = check(sheet);
        if (!problems.isEmpty()) {
            String list = problems.stream().map(SheetProblem::toString).collect(Collectors.joining("; "));
            throw BaobabcartException.of(ResultCode.SHEET_INVALID, list);
        }
        return sheet;
    }

    private static BaobabcartException unreadable(JsonProcessingException exception) {
        String detail = path(exception) + ": " + exception.getOriginalMessage();
        return BaobabcartException.of(ResultCode.SHEET_INVALID, detail).withCause(exception);
    }

    private static String path(JsonProcessingException exception) {
        StringBuilder path = new StringBuilder("$");
        if (exception instanceof JsonMappingException mapping) {
            mapping.getPath().forEach(reference -> append(path, reference));
        }
        return path.toString();
    }

    private static void append(StringBuilder path, JsonMappingException.Reference reference) {
        if (reference.getFieldName() == null) {
            path.append('[').append(reference.getIndex()).append(']');
        } else {
            path.append('.').append(reference.getFieldName());
        }
    }
}
