package org.baobabcart.cli.sheet;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/**
 * A row of a CSV table. Immutable. Accessors fail with {@link ResultCode#SHEET_INVALID}; the message names the file,
 * row and column.
 *
 * @param location the file and row for error messages
 * @param values the cell values by column name
 */
record CsvRow(String location, Map<String, String> values) {
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

    long integer(String column) {
        String value = text(column);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException exception) {
            throw invalid(column, "'" + value + "' is not a whole number").withCause(exception);
        }
    }

    boolean bool(String column) {
        String value = text(column);
        if (value.equalsIgnoreCase("true") || value.equalsIgnoreCase("yes")) {
            return true;
        }
        if (value.equalsIgnoreCase("false") || value.equalsIgnoreCase("no")) {
            return false;
        }
        throw invalid(column, "'" + value + "' is neither yes nor no");
    }

    /** Returns the values of a cell, separated by semicolons; an empty cell gives an empty list. */
    List<String> list(String column) {
        return Arrays.stream(values.getOrDefault(column, "").split(LIST_SEPARATOR))
                .map(String::strip)
                .filter(value -> !value.isEmpty())
                .toList();
    }

    BaobabcartException invalid(String column, String problem) {
        return BaobabcartException.of(ResultCode.SHEET_INVALID, "column " + column + " " + problem)
                .withLocation(location);
    }
}
