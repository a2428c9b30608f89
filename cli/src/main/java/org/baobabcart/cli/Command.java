package org.baobabcart.cli;

import java.util.List;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.Flag;

/** A command of the command-line tool. Implementations are stateless. */
public interface Command {
    /** Name of the argument that holds the unparsed words of a command with its own flag parser. */
    String REMAINING = "remaining";

    /** Returns the words that select the command, such as {@code sheet}, {@code check}. */
    List<String> words();

    /** Returns the one-line description for the help text. */
    String help();

    /** Returns the names of the required positional arguments, in order. */
    default List<String> positionals() {
        return List.of();
    }

    /** Returns the flags that the command accepts in addition to the TLS flags. */
    default List<Flag> flags() {
        return List.of();
    }

    /** Returns whether the words after the command are passed to it unparsed. */
    default boolean parsesItsOwnFlags() {
        return false;
    }

    /**
     * Runs the command.
     *
     * @throws org.baobabcart.model.result.BaobabcartException if the command fails; its message is shown to the
     *     operator
     */
    ExitCode run(Arguments arguments, CommandContext context);
}
