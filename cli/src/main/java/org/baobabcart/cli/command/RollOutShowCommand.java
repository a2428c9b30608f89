package org.baobabcart.cli.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.baobabcart.cli.Command;
import org.baobabcart.cli.CommandContext;
import org.baobabcart.cli.ExitCode;
import org.baobabcart.cli.output.Table;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.CommonFlags;
import org.baobabcart.cli.settings.Flag;
import org.baobabcart.model.rollout.RollOutProgress;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.model.sheet.RollOut;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.Withdrawal;
import org.baobabcart.router.platform.ObjectStore;

/** {@code rollout show}: shows the roll-outs of the sheet, their progress, and all withdrawals. */
final class RollOutShowCommand implements Command {
    @Override
    public List<String> words() {
        return List.of("rollout", "show");
    }

    @Override
    public String help() {
        return "show roll-outs, their progress and withdrawn versions";
    }

    @Override
    public List<Flag> flags() {
        return List.of(CommonFlags.PLATFORM, CommonFlags.JSON);
    }

    @Override
    public ExitCode run(Arguments arguments, CommandContext context) {
        ObjectStore store = PlatformObjects.store(arguments, context);
        Optional<Sheet> sheet = PlatformObjects.currentSheet(store).map(PublishedSheet::sheet);
        List<Row> rows = rows(sheet, PlatformObjects.rollOuts(store));
        if (arguments.isSet(CommonFlags.JSON)) {
            context.output().json(rows);
        } else {
            Table table = Table.of("MODEL", "VERSION", "STATUS", "STAGE", "SHARE", "REASON");
            rows.forEach(
                    row -> table.row(row.model(), row.version(), row.status(), row.stage(), row.share(), row.reason()));
            context.output().table(table);
        }
        return ExitCode.OK;
    }

    private static List<Row> rows(Optional<Sheet> sheet, RollOutState state) {
        List<Row> rows = new ArrayList<>();
        for (RollOut rollOut : sheet.map(Sheet::rollOuts).orElse(List.of())) {
            rows.add(row(
                    rollOut,
                    state.of(rollOut.model()).filter(entry -> entry.to().equals(rollOut.to()))));
        }
        for (Withdrawal withdrawal : sheet.map(Sheet::withdrawals).orElse(List.of())) {
            rows.add(new Row(withdrawal.model(), withdrawal.version(), "WITHDRAWN", "", "0", "by the sheet"));
        }
        for (Withdrawal withdrawal : state.withdrawals()) {
            rows.add(new Row(withdrawal.model(), withdrawal.version(), "WITHDRAWN", "", "0", "at run time"));
        }
        return rows;
    }

    private static Row row(RollOut rollOut, Optional<RollOutProgress> progress) {
        int stage = progress.map(RollOutProgress::stage).orElse(0);
        String status = progress.map(entry -> entry.status().name()).orElse("NOT STARTED");
        String share = stage < rollOut.stages().size()
                ? Double.toString(rollOut.stages().get(stage).share())
                : "";
        String reason = progress.map(RollOutProgress::reason).orElse("");
        String stages = (stage + 1) + "/" + rollOut.stages().size();
        return new Row(rollOut.model(), rollOut.to(), status, stages, share, reason);
    }

    private record Row(String model, String version, String status, String stage, String share, String reason) {}
}
