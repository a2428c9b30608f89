package org.baobabcart.cli.command;

import java.util.List;
import org.baobabcart.cli.Command;
import org.baobabcart.cli.demo.DemoCommand;

/** Registry of the commands, in the order of the help text. */
public final class Commands {
    private static final List<Command> ALL = List.of(
            new SheetCheckCommand(),
            new SheetImportCommand(),
            new SheetPublishCommand(),
            new SheetStatusCommand(),
            new SheetDiffCommand(),
            new FleetCommand(),
            new RollOutShowCommand(),
            RollOutChangeCommand.pause(),
            RollOutChangeCommand.resume(),
            RollOutChangeCommand.withdraw(),
            new KeysRotateCommand(),
            new DrainCommand(),
            new TimelineCommand(),
            new ExplainCommand(),
            new BillsCommand(),
            new LoadCommand(),
            new DemoCommand());

    private Commands() {}

    /** Returns all commands. */
    public static List<Command> all() {
        return ALL;
    }
}
