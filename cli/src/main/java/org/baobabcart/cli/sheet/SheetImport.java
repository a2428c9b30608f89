package org.baobabcart.cli.sheet;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.sheet.Cascade;
import org.baobabcart.model.sheet.ControllerLossPolicy;
import org.baobabcart.model.sheet.Model;
import org.baobabcart.model.sheet.Placement;
import org.baobabcart.model.sheet.Rank;
import org.baobabcart.model.sheet.RollOut;
import org.baobabcart.model.sheet.RollOutStage;
import org.baobabcart.model.sheet.Service;
import org.baobabcart.model.sheet.ServiceCall;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.SheetReader;
import org.baobabcart.model.sheet.Version;
import org.baobabcart.model.sheet.Withdrawal;
import org.baobabcart.model.sheet.Workspace;

/**
 * Imports a sheet from a folder with one CSV file per table and validates it. {@code docs/CLI.md} lists the files and
 * columns.
 */
public final class SheetImport {
    private static final String MODEL = "model";
    private static final String NAME = "name";

    private final Path folder;

    private SheetImport(Path folder) {
        this.folder = folder;
    }

    /**
     * Imports and validates the sheet in a folder.
     *
     * @throws BaobabcartException with {@link ResultCode#SHEET_INVALID} if a cell is invalid, naming the file, row and
     *     column, or if the tables are inconsistent, naming the path in the sheet
     */
    public static Sheet read(Path folder) {
        if (!Files.isDirectory(folder)) {
            throw BaobabcartException.of(ResultCode.BAD_SETTING, "is not a folder")
                    .withLocation(folder.toString());
        }
        Sheet sheet = new SheetImport(folder).sheet();
        SheetReader reader = SheetReader.create();
        return reader.read(reader.write(sheet));
    }

    private Sheet sheet() {
        List<CsvRow> sheetRows = rows("sheet");
        if (sheetRows.size() != 1) {
            throw BaobabcartException.of(ResultCode.SHEET_INVALID, "needs exactly one row")
                    .withLocation("sheet.csv");
        }
        return new Sheet(
                sheetRows.get(0).text(NAME),
                sheetRows.get(0).text("defaultRank"),
                rows("ranks").stream().map(SheetImport::rank).toList(),
                models(),
                rows("cascades").stream().map(SheetImport::cascade).toList(),
                rows("workspaces").stream().map(SheetImport::workspace).toList(),
                services(),
                rollOuts(),
                rows("withdrawals").stream()
                        .map(row -> new Withdrawal(row.text(MODEL), row.text("version")))
                        .toList(),
                rows("placements").stream().map(SheetImport::placement).toList());
    }

    private List<CsvRow> rows(String table) {
        return CsvTable.read(folder, table).rows();
    }

    private Map<String, List<CsvRow>> rowsBy(String table, String column) {
        Map<String, List<CsvRow>> groups = new LinkedHashMap<>();
        rows(table)
                .forEach(row -> groups.computeIfAbsent(row.text(column), ignored -> new ArrayList<>())
                        .add(row));
        return groups;
    }

    private List<Model> models() {
        List<Model> models = new ArrayList<>();
        rowsBy("versions", MODEL)
                .forEach((name, rows) -> models.add(
                        new Model(name, rows.stream().map(SheetImport::version).toList())));
        return models;
    }

    private List<Service> services() {
        Map<String, List<CsvRow>> calls = rowsBy("calls", "service");
        return rows("services").stream()
                .map(row -> new Service(
                        row.text(NAME),
                        calls.getOrDefault(row.text(NAME), List.of()).stream()
                                .map(SheetImport::call)
                                .toList(),
                        row.integer("retentionSeconds")))
                .toList();
    }

    private List<RollOut> rollOuts() {
        Map<String, List<CsvRow>> stages = rowsBy("stages", MODEL);
        return rows("rollOuts").stream()
                .map(row -> new RollOut(
                        row.text(MODEL),
                        row.text("from"),
                        row.text("to"),
                        stages.getOrDefault(row.text(MODEL), List.of()).stream()
                                .map(SheetImport::stage)
                                .toList(),
                        whenControllerLost(row)))
                .toList();
    }

    private static Rank rank(CsvRow row) {
        return new Rank(row.text(NAME), row.integer("targetMillis"), row.number("worth"), row.number("floor"));
    }

    private static Version version(CsvRow row) {
        return new Version(
                row.text("version"), row.number("costPerThousandTokens"), row.number("quality"), row.number("share"));
    }

    private static Cascade cascade(CsvRow row) {
        return new Cascade(row.text(NAME), row.number("qualityTarget"), row.list("steps"));
    }

    private static Workspace workspace(CsvRow row) {
        return new Workspace(
                row.text(NAME), row.list("keyHashes"), row.list("models"), row.list("services"), row.number("weight"));
    }

    private static ServiceCall call(CsvRow row) {
        return new ServiceCall(row.text("method"), row.text("path"), row.bool("repeatable"), row.bool("keyRequired"));
    }

    private static RollOutStage stage(CsvRow row) {
        return new RollOutStage(row.number("share"), row.integer("minimumSeconds"), row.integer("minimumSamples"));
    }

    private static Placement placement(CsvRow row) {
        return new Placement(row.text("dataCentre"), row.text(MODEL), row.text("version"), (int)
                Math.max(-1, Math.min(Integer.MAX_VALUE, row.integer("engines"))));
    }

    private static ControllerLossPolicy whenControllerLost(CsvRow row) {
        String column = "whenControllerLost";
        String value = row.text(column);
        return Arrays.stream(ControllerLossPolicy.values())
                .filter(choice -> choice.name().equals(value.toUpperCase(Locale.ROOT)))
                .findFirst()
                .orElseThrow(() -> row.invalid(
                        column, "'" + value + "' is none of " + Arrays.toString(ControllerLossPolicy.values())));
    }
}
