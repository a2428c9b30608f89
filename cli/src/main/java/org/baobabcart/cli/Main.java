package org.baobabcart.cli;

import io.vertx.core.Vertx;
import org.baobabcart.cli.command.Commands;
import org.baobabcart.cli.fleet.HttpAdminClient;
import org.baobabcart.cli.fleet.PollClock;
import org.baobabcart.cli.output.Output;
import org.baobabcart.router.transport.Transport;

/** Entry point of the command-line tool. */
public final class Main {
    private Main() {}

    /** Runs one command and exits the process with its exit code. */
    public static void main(String[] arguments) {
        System.setProperty("java.util.logging.SimpleFormatter.format", "%4$s %5$s%n");
        Vertx vertx = Vertx.vertx();
        Output output = Output.of(System.out, System.err);
        ExitCode code = CommandLine.of(Commands.all())
                .run(arguments, System.getenv(), output, transport -> context(vertx, output, transport));
        System.out.flush();
        System.exit(code.status());
    }

    private static CommandContext context(Vertx vertx, Output output, Transport transport) {
        return new CommandContext(
                output,
                HttpAdminClient.create(vertx, transport),
                StoreFactory.create(vertx, transport),
                PollClock.system());
    }
}
