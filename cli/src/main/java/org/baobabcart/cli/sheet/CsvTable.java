package org.baobabcart.cli.sheet;

import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvParser;
import com.fasterxml.jackson.dataformat.csv.CsvSchema;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/**
 * The rows of a CSV file whose first line names the columns. Immutable.
 *
 * @param file the file's name, for messages
 * @param rows the rows in order
 */
record CsvTable(String file, List<CsvRow> rows) {
    private static final int FIRST_ROW_LINE = 2;
    private static final CsvMapper MAPPER = CsvMapper.builder()
            .enable(CsvParser.Feature.TRIM_SPACES)
            .enable(CsvParser.Feature.SKIP_EMPTY_LINES)
            .enable(CsvParser.Feature.FAIL_ON_MISSING_COLUMNS)
            .build();

    CsvTable {
        rows = List.copyOf(rows);
    }

    /** Reads a file of a folder; a file that does not exist is a table without rows. */
    static CsvTable read(Path folder, String name) {
        Path path = folder.resolve(name + ".csv");
        if (!Files.exists(path)) {
            return new CsvTable(path.getFileName().toString(), List.of());
        }
        CsvSchema schema = CsvSchema.emptySchema().withHeader().withStrictHeaders(false);
        List<CsvRow> rows = new ArrayList<>();
        try (MappingIterator<Map<String, String>> values =
                MAPPER.readerForMapOf(String.class).with(schema).readValues(path.toFile())) {
            while (values.hasNextValue()) {
                String place = path.getFileName() + " row " + (rows.size() + FIRST_ROW_LINE);
                rows.add(new CsvRow(place, values.nextValue()));
            }
        } catch (IOException exception) {
            String place = path.getFileName() + " row " + (rows.size() + FIRST_ROW_LINE);
            throw BaobabcartException.of(ResultCode.SHEET_INVALID, "is no table of comma-separated values")
                    .withLocation(place)
                    .withCause(exception);
        }
        return new CsvTable(path.getFileName().toString(), rows);
    }
}
