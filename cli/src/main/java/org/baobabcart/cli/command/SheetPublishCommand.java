package org.baobabcart.cli.command;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.baobabcart.cli.Command;
import org.baobabcart.cli.CommandContext;
import org.baobabcart.cli.ExitCode;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.CommonFlags;
import org.baobabcart.cli.settings.Flag;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.Withdrawal;
import org.baobabcart.router.platform.ObjectStore;

/** {@code sheet publish FILE}: publishes a sheet and waits until all live routers have applied it. */
final class SheetPublishCommand implements Command {
    private static final String FILE = "FILE";
    private static final Flag PUBLISHED_BY = Flag.of(
                    "--published-by", "name of the publisher, shown to other operators")
            .withDefault("operator");

    private static final Flag REINSTATE =
            Flag.of("--reinstate", "withdrawn versions to reinstate, as model@version, separated by commas");

    @Override
    public List<String> words() {
        return List.of("sheet", "publish");
    }

    @Override
    public String help() {
        return "publish a sheet and wait until all live routers have applied it";
    }

    @Override
    public List<String> positionals() {
        return List.of(FILE);
    }

    @Override
    public List<Flag> flags() {
        return Flags.with(CommonFlags.change(), PUBLISHED_BY, REINSTATE);
    }

    @Override
    public ExitCode run(Arguments arguments, CommandContext context) {
        Sheet sheet = SheetFiles.read(arguments.positional(FILE));
        ObjectStore store = PlatformObjects.store(arguments, context);
        PublishedSheet published =
                DocumentChanges.in(store).publish(sheet, arguments.text(PUBLISHED_BY), reinstated(arguments));
        long generation = published.generation();
        context.output().note("generation " + generation + " accepted by the platform");
        published.sheet().withdrawals().stream()
                .filter(withdrawal -> !sheet.withdrawals().contains(withdrawal))
                .forEach(kept -> context.output()
                        .note("kept: " + kept.model() + "@" + kept.version() + " is withdrawn; reinstate it with "
                                + REINSTATE.name()));
        return ChangeReport.awaitAndPrint(
                "sheet " + sheet.name(),
                generation,
                status -> status.sheet().generation() >= generation,
                arguments,
                context);
    }

    private static Set<Withdrawal> reinstated(Arguments arguments) {
        return arguments.list(REINSTATE).stream()
                .map(SheetPublishCommand::withdrawal)
                .collect(Collectors.toSet());
    }

    private static Withdrawal withdrawal(String text) {
        String[] parts = text.split("@", -1);
        if (parts.length != 2 || parts[0].isEmpty() || parts[1].isEmpty()) {
            throw Arguments.invalidValue(REINSTATE, text, "model@version");
        }
        return new Withdrawal(parts[0], parts[1]);
    }
}
