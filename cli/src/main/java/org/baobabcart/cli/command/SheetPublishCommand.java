package org.baobabcart.cli.command;

import java.util.List;
import org.baobabcart.cli.Command;
import org.baobabcart.cli.CommandContext;
import org.baobabcart.cli.ExitCode;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.CommonFlags;
import org.baobabcart.cli.settings.Flag;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.router.platform.ObjectStore;

/** {@code sheet publish FILE}: publishes a sheet and ends when it is in force on every live router. */
final class SheetPublishCommand implements Command {
    private static final String FILE = "FILE";
    private static final Flag PUBLISHED_BY =
            Flag.of("--published-by", "who publishes, shown to other operators").withDefault("operator");

    @Override
    public List<String> words() {
        return List.of("sheet", "publish");
    }

    @Override
    public String help() {
        return "publish a sheet and wait until it is in force on every live router";
    }

    @Override
    public List<String> positionals() {
        return List.of(FILE);
    }

    @Override
    public List<Flag> flags() {
        return Flags.with(CommonFlags.change(), PUBLISHED_BY);
    }

    @Override
    public ExitCode run(Arguments arguments, CommandContext context) {
        Sheet sheet = SheetFiles.read(arguments.positional(FILE));
        ObjectStore store = PlatformObjects.store(arguments, context);
        PublishedSheet published = SheetPublishing.publish(store, sheet, arguments.text(PUBLISHED_BY));
        long generation = published.generation();
        context.output().note("generation " + generation + " accepted by the platform");
        return ChangeReport.awaitAndPrint(
                "sheet " + sheet.name(),
                generation,
                status -> status.sheet().generation() >= generation,
                arguments,
                context);
    }
}
