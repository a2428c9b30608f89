package org.baobabcart.router;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.infrastructure.Infrastructure;
import java.util.Optional;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.router.settings.RouterSettings;
import org.baobabcart.router.settings.SettingsParser;

/** Main class of the router: reads the settings, starts the router and stops it gracefully on SIGTERM. */
public final class RouterMain {
    /** Exit code if the settings are invalid. */
    public static final int EXIT_BAD_SETTING = 2;
    /** Exit code if the router failed to start, for example because a port is in use. */
    public static final int EXIT_START_FAILED = 3;

    static {
        // Set by name: a call of a method of StopLogManager would initialize java.util.logging with the default
        // manager.
        System.setProperty("java.util.logging.manager", "org.baobabcart.router.StopLogManager");
    }

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private RouterMain() {}

    /** Runs a router until its planned stop has completed. */
    public static void main(String[] arguments) {
        Optional<RouterSettings> settings = readSettings(arguments);
        if (settings.isPresent()) {
            run(settings.get());
        }
    }

    private static Optional<RouterSettings> readSettings(String[] arguments) {
        try {
            return SettingsParser.create(System.getenv()).parse(arguments);
        } catch (BaobabcartException exception) {
            System.err.println(exception.code().number() + " " + exception.getMessage());
            System.exit(EXIT_BAD_SETTING);
            throw exception;
        }
    }

    private static void run(RouterSettings settings) {
        Infrastructure.setDroppedExceptionHandler(
                failure -> LOGGER.atFine().withCause(failure).log("event=late_failure"));
        RouterProcess process = RouterProcess.create(settings);
        try {
            RouterPorts ports = process.start().await().indefinitely();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(process), "planned-stop"));
            System.out.println(readyLine(settings, ports));
            process.stopped().await().indefinitely();
            System.exit(0);
        } catch (RuntimeException exception) {
            LOGGER.atSevere().withCause(exception).log("event=start_failed name=%s", settings.name());
            System.exit(EXIT_START_FAILED);
        }
    }

    /** Halts the JVM with exit code 0, since it would otherwise exit with the code of the signal. */
    private static void stop(RouterProcess process) {
        process.stop().await().indefinitely();
        Runtime.getRuntime().halt(0);
    }

    private static String readyLine(RouterSettings settings, RouterPorts ports) {
        ObjectMapper mapper = new ObjectMapper();
        ObjectNode line = mapper.createObjectNode().put("name", settings.name());
        line.putObject("ports")
                .put("caller", ports.caller())
                .put("admin", ports.admin())
                .put("peer", ports.peer());
        try {
            return "READY " + mapper.writeValueAsString(line);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
