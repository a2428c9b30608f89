package org.baobabcart.cli.command;

import java.util.List;
import org.baobabcart.cli.Command;
import org.baobabcart.cli.CommandContext;
import org.baobabcart.cli.ExitCode;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.load.LoadMain;

/** {@code load}: runs the load tool, which parses its own flags. */
final class LoadCommand implements Command {
    @Override
    public List<String> words() {
        return List.of("load");
    }

    @Override
    public String help() {
        return "send open-loop load and print latencies as JSON";
    }

    @Override
    public boolean parsesItsOwnFlags() {
        return true;
    }

    @Override
    public ExitCode run(Arguments arguments, CommandContext context) {
        String[] words = arguments.remaining(REMAINING).toArray(String[]::new);
        int status = LoadMain.run(words, arguments.environment());
        return status == ExitCode.OK.status()
                ? ExitCode.OK
                : status == ExitCode.USAGE.status() ? ExitCode.USAGE : ExitCode.FAILED;
    }
}
