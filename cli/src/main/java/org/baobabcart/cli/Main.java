package org.baobabcart.cli;

import io.vertx.core.Vertx;
import org.baobabcart.cli.command.Commands;
import org.baobabcart.cli.fleet.HttpAdminClient;
import org.baobabcart.cli.fleet.Pauses;
import org.baobabcart.cli.output.Output;
import org.baobabcart.router.transport.Transport;

/** The entry point of the command line. */
public final class Main {
    private Main() {}

    /** Runs one command and ends the process with its exit code. */
    public static void main(String[] words) {
        System.setProperty("java.util.logging.SimpleFormatter.format", "%4$s %5$s%n");
        Vertx vertx = Vertx.vertx();
        Output output = Output.of(System.out, System.err);
        ExitCode code = CommandLine.of(Commands.all())
                .run(words, System.getenv(), output, transport -> context(vertx, output, transport));
        System.out.flush();
        System.exit(code.status());
    }

    private static CommandContext context(Vertx vertx, Output output, Transport transport) {
        return new CommandContext(
                output,
                HttpAdminClient.create(vertx, transport),
                StoreFactory.create(vertx, transport),
                Pauses.system());
    }
}
