package org.baobabcart.cli.command;

import java.util.List;
import org.baobabcart.cli.Command;
import org.baobabcart.cli.CommandContext;
import org.baobabcart.cli.ExitCode;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.CommonFlags;
import org.baobabcart.cli.settings.Flag;
import org.baobabcart.router.key.SessionSecrets;

/** {@code keys rotate}: creates a new key for session tokens and waits until every live router has it. */
final class KeysRotateCommand implements Command {
    @Override
    public List<String> words() {
        return List.of("keys", "rotate");
    }

    @Override
    public String help() {
        return "create a new key for session tokens and wait until every live router has it";
    }

    @Override
    public List<Flag> flags() {
        return CommonFlags.change();
    }

    @Override
    public ExitCode run(Arguments arguments, CommandContext context) {
        SessionSecrets secrets =
                DocumentChanges.in(PlatformObjects.store(arguments, context)).rotateSessionKeys();
        return ChangeReport.awaitAndPrint(
                "session keys",
                secrets.generation(),
                status -> status.sessionKeys().generation() >= secrets.generation(),
                arguments,
                context);
    }
}
