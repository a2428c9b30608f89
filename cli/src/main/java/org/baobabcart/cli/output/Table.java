package org.baobabcart.cli.output;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** A text table with a maximum width; the widest columns are truncated first. Not thread-safe. */
public final class Table {
    /** Maximum width of a table in characters. */
    public static final int WIDTH = 100;

    private static final int MIN_COLUMN_WIDTH = 4;
    private static final String COLUMN_SEPARATOR = "  ";
    private static final String TRUNCATION_MARK = "~";

    private final List<String> titles;
    private final List<List<String>> rows = new ArrayList<>();

    private Table(List<String> titles) {
        this.titles = List.copyOf(titles);
    }

    /** Creates a table with column titles. */
    public static Table of(String... titles) {
        return new Table(List.of(titles));
    }

    /** Adds a row with one cell per column; a null cell is empty. */
    public Table row(Object... cells) {
        List<String> texts = new ArrayList<>();
        for (Object cell : cells) {
            texts.add(cell == null ? "" : cell.toString().replaceAll("\\s+", " "));
        }
        rows.add(texts);
        return this;
    }

    /** Returns the lines of the table, starting with the titles. */
    public List<String> lines() {
        int[] widths = widths();
        List<String> lines = new ArrayList<>();
        lines.add(line(titles, widths));
        rows.forEach(row -> lines.add(line(row, widths)));
        return lines;
    }

    private int[] widths() {
        int[] widths = new int[titles.size()];
        for (int column = 0; column < widths.length; column++) {
            widths[column] = titles.get(column).length();
            for (List<String> row : rows) {
                widths[column] = Math.max(widths[column], row.get(column).length());
            }
        }
        int available = WIDTH - COLUMN_SEPARATOR.length() * (widths.length - 1);
        while (sum(widths) > available) {
            int widest = widest(widths);
            widths[widest] = Math.max(MIN_COLUMN_WIDTH, widths[widest] - (sum(widths) - available));
            widths[widest] = Math.max(
                    widths[widest],
                    Math.min(available / widths.length, titles.get(widest).length()));
            if (widest(widths) == widest && widths[widest] <= MIN_COLUMN_WIDTH) {
                break;
            }
        }
        return widths;
    }

    private static int sum(int[] widths) {
        int total = 0;
        for (int width : widths) {
            total += width;
        }
        return total;
    }

    private static int widest(int[] widths) {
        int result = 0;
        for (int column = 1; column < widths.length; column++) {
            if (widths[column] > widths[result]) {
                result = column;
            }
        }
        return result;
    }

    private static String line(List<String> cells, int[] widths) {
        List<String> padded = new ArrayList<>();
        for (int column = 0; column < widths.length; column++) {
            padded.add(fit(cells.get(column), widths[column]));
        }
        return padded.stream().collect(Collectors.joining(COLUMN_SEPARATOR)).stripTrailing();
    }

    private static String fit(String cell, int width) {
        if (cell.length() > width) {
            return cell.substring(0, width - 1) + TRUNCATION_MARK;
        }
        return cell + " ".repeat(width - cell.length());
    }
}
