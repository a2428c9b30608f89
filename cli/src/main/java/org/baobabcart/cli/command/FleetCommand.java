package org.baobabcart.cli.command;

import java.util.List;
import org.baobabcart.cli.Command;
import org.baobabcart.cli.CommandContext;
import org.baobabcart.cli.ExitCode;
import org.baobabcart.cli.fleet.Fleet;
import org.baobabcart.cli.fleet.FleetRouter;
import org.baobabcart.cli.output.Table;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.CommonFlags;
import org.baobabcart.cli.settings.Flag;

/** {@code fleet}: shows the status of every router that should be live. */
final class FleetCommand implements Command {
    @Override
    public List<String> words() {
        return List.of("fleet");
    }

    @Override
    public String help() {
        return "show the status of every router that should be live";
    }

    @Override
    public List<Flag> flags() {
        return CommonFlags.fleet();
    }

    @Override
    public ExitCode run(Arguments arguments, CommandContext context) {
        Fleet fleet = PlatformObjects.finder(arguments, context).find();
        List<Row> rows = fleet.routers().stream().map(FleetCommand::row).toList();
        if (arguments.isSet(CommonFlags.JSON)) {
            context.output().json(rows);
        } else {
            context.output().table(table(rows));
        }
        return rows.stream().allMatch(Row::ready) ? ExitCode.OK : ExitCode.FAILED;
    }

    private static Row row(FleetRouter router) {
        return router.status()
                .map(status -> new Row(
                        router.name(),
                        router.dataCentre(),
                        router.adminAddress(),
                        status.ready(),
                        status.stopping(),
                        status.platformReachable(),
                        status.sheet().generation(),
                        status.members().size(),
                        status.upstreams().size(),
                        status.orders().fencing(),
                        status.orders().inFlight().size(),
                        status.orders().shortfalls().size(),
                        ""))
                .orElseGet(() -> new Row(
                        router.name(),
                        router.dataCentre(),
                        router.adminAddress(),
                        false,
                        false,
                        false,
                        0,
                        0,
                        0,
                        0,
                        0,
                        0,
                        router.problem()));
    }

    private static Table table(List<Row> rows) {
        Table table = Table.of(
                "ROUTER", "DATA CENTRE", "ADMIN", "STATE", "PLATFORM", "SHEET", "MEMBERS", "UPSTREAMS", "NOTES");
        rows.forEach(row -> table.row(
                row.router(),
                row.dataCentre(),
                row.adminAddress(),
                state(row),
                row.platformReachable() ? "yes" : "no",
                row.sheetGeneration(),
                row.members(),
                row.upstreams(),
                notes(row)));
        return table;
    }

    /**
     * Returns the problem of a router, or the orders and shortfalls if the router holds the lease on orders to engines.
     */
    private static String notes(Row row) {
        if (row.lease() == 0) {
            return row.problem();
        }
        return "lease " + row.lease() + ": " + row.orders() + " orders, " + row.shortfalls() + " short";
    }

    private static String state(Row row) {
        if (row.stopping()) {
            return "stopping";
        }
        if (row.ready()) {
            return "ready";
        }
        return row.problem().isEmpty() ? "not ready" : "silent";
    }

    private record Row(
            String router,
            String dataCentre,
            String adminAddress,
            boolean ready,
            boolean stopping,
            boolean platformReachable,
            long sheetGeneration,
            int members,
            int upstreams,
            long lease,
            int orders,
            int shortfalls,
            String problem) {}
}
