package org.baobabcart.cli.command;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Optional;
import org.baobabcart.cli.Command;
import org.baobabcart.cli.CommandContext;
import org.baobabcart.cli.ExitCode;
import org.baobabcart.cli.fleet.Fleet;
import org.baobabcart.cli.fleet.FleetRouter;
import org.baobabcart.cli.fleet.RouterStatus;
import org.baobabcart.cli.output.Table;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.CommonFlags;
import org.baobabcart.cli.settings.Flag;
import org.baobabcart.model.sheet.PublishedSheet;

/** {@code sheet status}: shows the published sheet and the sheet of each live router. */
final class SheetStatusCommand implements Command {
    @Override
    public List<String> words() {
        return List.of("sheet", "status");
    }

    @Override
    public String help() {
        return "show the published sheet and the sheet of each live router";
    }

    @Override
    public List<Flag> flags() {
        return CommonFlags.fleet();
    }

    @Override
    public ExitCode run(Arguments arguments, CommandContext context) {
        Optional<PublishedSheet> published = PlatformObjects.currentSheet(PlatformObjects.store(arguments, context));
        Fleet fleet = PlatformObjects.finder(arguments, context).find();
        long generation = published.map(PublishedSheet::generation).orElse(0L);
        List<Row> rows =
                fleet.routers().stream().map(router -> row(router, generation)).toList();
        if (arguments.isSet(CommonFlags.JSON)) {
            context.output().json(new Report(generation, sheetName(published), rows));
        } else {
            context.output().line("platform: generation " + generation + " " + sheetName(published));
            context.output().table(table(rows));
        }
        return rows.stream().allMatch(Row::inForce) ? ExitCode.OK : ExitCode.INCOMPLETE;
    }

    private static String sheetName(Optional<PublishedSheet> published) {
        return published.map(current -> current.sheet().name()).orElse("");
    }

    private static Row row(FleetRouter router, long generation) {
        long applied = router.status()
                .map(RouterStatus::sheet)
                .map(RouterStatus.SheetStatus::generation)
                .orElse(0L);
        Long age = router.status()
                .map(RouterStatus::sheet)
                .map(RouterStatus.SheetStatus::ageMillis)
                .orElse(null);
        boolean inForce = router.status().isPresent() && applied >= generation;
        return new Row(router.name(), router.dataCentre(), applied, age, inForce, router.problem());
    }

    private static Table table(List<Row> rows) {
        Table table = Table.of("ROUTER", "DATA CENTRE", "GENERATION", "AGE MS", "IN FORCE", "PROBLEM");
        rows.forEach(row -> table.row(
                row.router(),
                row.dataCentre(),
                row.generation(),
                row.ageMillis(),
                row.inForce() ? "yes" : "no",
                row.problem()));
        return table;
    }

    private record Report(long generation, String name, List<Row> routers) {}

    @JsonInclude(JsonInclude.Include.NON_NULL)
    private record Row(
            String router, String dataCentre, long generation, Long ageMillis, boolean inForce, String problem) {}
}
