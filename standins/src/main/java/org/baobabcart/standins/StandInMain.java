package org.baobabcart.standins;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.baobabcart.standins.base.StandInSettings;

/** Entry point of a stand-in process: {@code StandInMain KIND [flags]}. */
public final class StandInMain {
    private static final int USAGE_EXIT_CODE = 2;
    private static final int FAILURE_EXIT_CODE = 1;

    private StandInMain() {}

    /** Starts the stand-in, prints one {@code READY} line and serves until the process is terminated. */
    public static void main(String[] arguments) {
        ArgumentParser parser = parser();
        try {
            run(parser.parseArgs(arguments));
        } catch (ArgumentParserException exception) {
            parser.handleError(exception);
            System.exit(USAGE_EXIT_CODE);
        }
    }

    private static void run(Namespace namespace) {
        StandInSettings settings = StandInSettings.of(namespace);
        VertxOptions options =
                new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(2);
        StandInKind.of(namespace.getString("kind"))
                .start(Vertx.vertx(options), settings)
                .onSuccess(ports -> printReady(settings.name(), ports))
                .onFailure(StandInMain::fail);
    }

    private static void printReady(String name, Map<String, Integer> ports) {
        JsonObject portNumbers = new JsonObject();
        ports.forEach(portNumbers::put);
        JsonObject line = new JsonObject().put("name", name).put("ports", portNumbers);
        System.out.println("READY " + line.encode());
        System.out.flush();
    }

    private static void fail(Throwable failure) {
        System.err.println("cannot start: " + failure);
        System.exit(FAILURE_EXIT_CODE);
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("standin")
                .build()
                .description("Simulates an external system for tests and the demo.");
        parser.addArgument("kind").choices(StandInKind.commandLineNames());
        parser.addArgument("--name").setDefault("standin");
        parser.addArgument("--port").type(Integer.class).setDefault(0);
        parser.addArgument("--data-centre").setDefault("a");
        addEngineFlags(parser);
        parser.addArgument("--service").setDefault("orders");
        parser.addArgument("--reads-per-second").type(Integer.class).setDefault(2000);
        parser.addArgument("--writes-per-second").type(Integer.class).setDefault(300);
        parser.addArgument("--history").type(Integer.class).setDefault(4096);
        parser.addArgument("--target").setDefault("");
        parser.addArgument("--proxy-port").type(Integer.class).setDefault(0);
        return parser;
    }

    private static void addEngineFlags(ArgumentParser parser) {
        parser.addArgument("--model").setDefault("layout-large");
        parser.addArgument("--version").setDefault("v1");
        parser.addArgument("--slots").type(Integer.class).setDefault(8);
        parser.addArgument("--token-millis").type(Double.class).setDefault(5.0);
        parser.addArgument("--quality").type(Double.class).setDefault(0.95);
        parser.addArgument("--prefix-blocks").type(Integer.class).setDefault(4096);
        parser.addArgument("--ignore-fencing").action(Arguments.storeTrue());
        parser.addArgument("--load-millis").type(Long.class).setDefault(0L);
        parser.addArgument("--virtual-machines").setDefault("");
    }
}
