package org.baobabcart.cli.command;

import java.util.List;
import org.baobabcart.cli.Command;
import org.baobabcart.cli.CommandContext;
import org.baobabcart.cli.ExitCode;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.model.sheet.Sheet;

/** {@code sheet check FILE}: validates a sheet without publishing it. */
final class SheetCheckCommand implements Command {
    private static final String FILE = "FILE";

    @Override
    public List<String> words() {
        return List.of("sheet", "check");
    }

    @Override
    public String help() {
        return "validate a sheet and list all errors with their paths";
    }

    @Override
    public List<String> positionals() {
        return List.of(FILE);
    }

    @Override
    public ExitCode run(Arguments arguments, CommandContext context) {
        Sheet sheet = SheetFiles.read(arguments.positional(FILE));
        context.output()
                .line("%s: sound; %d ranks, %d models, %d cascades, %d workspaces, %d services, %d roll-outs"
                        .formatted(
                                sheet.name(),
                                sheet.ranks().size(),
                                sheet.models().size(),
                                sheet.cascades().size(),
                                sheet.workspaces().size(),
                                sheet.services().size(),
                                sheet.rollOuts().size()));
        return ExitCode.OK;
    }
}
