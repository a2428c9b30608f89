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
 * Rows of a CSV file whose first line contains the column names. Immutable.
 *
 * @param file the file name for error messages
 * @param rows the rows in file order
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

    /** Reads the CSV file of a table; a missing file gives a table without rows. */
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
                String location = path.getFileName() + " row " + (rows.size() + FIRST_ROW_LINE);
                rows.add(new CsvRow(location, values.nextValue()));
            }
        } catch (IOException exception) {
            String location = path.getFileName() + " row " + (rows.size() + FIRST_ROW_LINE);
            throw BaobabcartException.of(ResultCode.SHEET_INVALID, "is not a valid CSV file")
                    .withLocation(location)
                    .withCause(exception);
        }
        return new CsvTable(path.getFileName().toString(), rows);
    }
}
