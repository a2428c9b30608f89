package org.baobabcart.cli.sheet;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/**
 * A row of a table. Immutable. Accessors fail with {@link ResultCode#SHEET_INVALID} naming file, row and column.
 *
 * @param place the file and row, for messages
 * @param values the cells by column
 */
record CsvRow(String place, Map<String, String> values) {
    private static final String LIST_SEPARATOR = ";";

    CsvRow {
        values = Map.copyOf(values);
    }

    String text(String column) {
        String value = values.getOrDefault(column, "");
        if (value.isBlank()) {
            throw invalid(column, "is empty or missing");
        }
        return value.strip();
    }

    double number(String column) {
        String value = text(column);
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException exception) {
            throw invalid(column, "'" + value + "' is not a number").withCause(exception);
        }
    }

    long whole(String column) {
        String value = text(column);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException exception) {
            throw invalid(column, "'" + value + "' is not a whole number").withCause(exception);
        }
    }

    boolean flag(String column) {
        String value = text(column);
        if (value.equalsIgnoreCase("true") || value.equalsIgnoreCase("yes")) {
            return true;
        }
        if (value.equalsIgnoreCase("false") || value.equalsIgnoreCase("no")) {
            return false;
        }
        throw invalid(column, "'" + value + "' is neither yes nor no");
    }

    /** Values separated by semicolons; an empty cell is an empty list. */
    List<String> list(String column) {
        return Arrays.stream(values.getOrDefault(column, "").split(LIST_SEPARATOR))
                .map(String::strip)
                .filter(value -> !value.isEmpty())
                .toList();
    }

    BaobabcartException invalid(String column, String problem) {
        return BaobabcartException.of(ResultCode.SHEET_INVALID, "column " + column + " " + problem)
                .withLocation(place);
    }
}
