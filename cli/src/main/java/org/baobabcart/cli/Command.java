package org.baobabcart.cli;

import java.util.List;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.Flag;

/** One command of the command line. Implementations are stateless. */
public interface Command {
    /** The name under which a command that parses its own flags finds its words. */
    String REMAINING = "remaining";

    /** The words that call it, such as {@code sheet}, {@code check}. */
    List<String> words();

    /** One line for the help text. */
    String help();

    /** Names of required positional arguments, in order. */
    default List<String> positionals() {
        return List.of();
    }

    /** The flags it takes besides the common ones. */
    default List<Flag> flags() {
        return List.of();
    }

    /** Whether all words after the command's own are passed on unparsed. */
    default boolean parsesItsOwnFlags() {
        return false;
    }

    /**
     * Runs the command.
     *
     * @throws org.baobabcart.model.result.BaobabcartException on any failure that the operator should read
     */
    ExitCode run(Arguments arguments, CommandContext context);
}
