package org.baobabcart.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.baobabcart.cli.output.Output;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.Flag;
import org.baobabcart.cli.settings.SecurityFlags;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.transport.Transport;

/**
 * Parses a command line, runs the command and reports every failure as one line and an exit code. Immutable.
 */
public final class CommandLine {
    private static final String COMMAND = "org.baobabcart.command";

    private final List<Command> commands;
    private final ArgumentParser parser;

    private CommandLine(List<Command> commands) {
        this.commands = List.copyOf(commands);
        this.parser = parser();
    }

    /** Creates a command line with the given commands. */
    public static CommandLine of(List<Command> commands) {
        return new CommandLine(commands);
    }

    /** Returns the commands in the order of the help text. */
    public List<Command> commands() {
        return commands;
    }

    /** Runs one command with a context that does not depend on the transport. Failures are reported, never thrown. */
    public ExitCode run(String[] words, Map<String, String> environment, CommandContext context) {
        return run(words, environment, context.output(), ignored -> context);
    }

    /**
     * Runs one command. Failures are reported, never thrown.
     *
     * @param contexts creates the context of the command for the transport that its flags specify
     */
    public ExitCode run(
            String[] words,
            Map<String, String> environment,
            Output output,
            Function<Transport, CommandContext> contexts) {
        try {
            Optional<Command> ownParser = commands.stream()
                    .filter(command -> command.parsesItsOwnFlags() && matches(command, words))
                    .findFirst();
            if (ownParser.isPresent()) {
                return ownParser
                        .get()
                        .run(remaining(ownParser.get(), words, environment), contexts.apply(Transport.plain()));
            }
            Namespace namespace = parser.parseArgs(words);
            Command command = namespace.get(COMMAND);
            Arguments arguments = Arguments.of(suppliedValues(namespace), environment);
            return command.run(arguments, contexts.apply(SecurityFlags.read(arguments)));
        } catch (HelpScreenException exception) {
            return ExitCode.OK;
        } catch (ArgumentParserException exception) {
            printUsage(exception, output);
            return ExitCode.USAGE;
        } catch (BaobabcartException exception) {
            output.failure(exception);
            return ExitCode.of(exception.code());
        } catch (RuntimeException exception) {
            output.failure(unexpected(exception));
            return ExitCode.FAILED;
        }
    }

    private static boolean matches(Command command, String[] words) {
        int count = command.words().size();
        return words.length >= count
                && command.words().equals(Arrays.asList(words).subList(0, count));
    }

    private static Arguments remaining(Command command, String[] words, Map<String, String> environment) {
        List<String> remainingWords =
                Arrays.asList(words).subList(command.words().size(), words.length);
        return Arguments.of(Map.of(Command.REMAINING, String.join("\n", remainingWords)), environment);
    }

    private ArgumentParser parser() {
        ArgumentParser root = ArgumentParsers.newFor("baobabcart")
                .terminalWidthDetection(false)
                .build()
                .description("Operate a fleet of baobabcart routers.")
                .epilog("A configuration of the platform is checked by 'baobabcart check FILE'.");
        Subparsers subparsers = root.addSubparsers().title("commands").metavar("COMMAND");
        Map<String, Subparsers> groups = new LinkedHashMap<>();
        for (Command command : commands) {
            Subparsers parent = subparsers;
            List<String> words = command.words();
            if (words.size() > 1) {
                parent = groups.computeIfAbsent(words.get(0), word -> group(subparsers, word));
            }
            addArguments(parent.addParser(words.get(words.size() - 1)), command);
        }
        return root;
    }

    private static Subparsers group(Subparsers parent, String word) {
        return parent.addParser(word)
                .help("see 'baobabcart " + word + " --help'")
                .addSubparsers()
                .title("commands")
                .metavar("COMMAND");
    }

    private static void addArguments(Subparser subparser, Command command) {
        subparser.help(command.help()).description(command.help()).setDefault(COMMAND, command);
        for (String positional : command.positionals()) {
            Argument argument = subparser.addArgument(positional);
            if (positional.endsWith("...")) {
                argument.nargs("+");
            }
        }
        List<Flag> flags = new ArrayList<>(command.flags());
        flags.addAll(SecurityFlags.all());
        for (Flag flag : flags) {
            Argument argument =
                    subparser.addArgument(flag.name()).dest(flag.key()).help(help(flag));
            if (flag.toggle()) {
                argument.action(net.sourceforge.argparse4j.impl.Arguments.storeConst())
                        .setConst("true");
            } else {
                argument.metavar("VALUE");
            }
        }
    }

    private static String help(Flag flag) {
        String defaultValue = flag.defaultValue()
                .filter(text -> !flag.toggle())
                .map(text -> ", default " + text)
                .orElse("");
        return flag.help() + " (" + flag.environmentVariable() + defaultValue + ")";
    }

    private static Map<String, String> suppliedValues(Namespace namespace) {
        Map<String, String> values = new HashMap<>();
        namespace.getAttrs().forEach((key, value) -> {
            if (value instanceof List<?> words) {
                values.put(
                        key,
                        String.join("\n", words.stream().map(Object::toString).toList()));
            } else if (value instanceof String text) {
                values.put(key, text);
            }
        });
        return values;
    }

    private static void printUsage(ArgumentParserException exception, Output output) {
        StringWriter usage = new StringWriter();
        exception.getParser().printUsage(new PrintWriter(usage, true));
        output.note(usage.toString().strip());
        output.failure(BaobabcartException.of(ResultCode.BAD_SETTING, exception.getMessage()));
    }

    private static BaobabcartException unexpected(RuntimeException exception) {
        return BaobabcartException.of(ResultCode.INTERNAL, exception.toString()).withCause(exception);
    }
}
