package org.baobabcart.cli.demo;

import java.util.List;
import org.baobabcart.cli.Command;
import org.baobabcart.cli.CommandContext;
import org.baobabcart.cli.ExitCode;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.Flag;

/** {@code demo}: starts a small fleet and checks its guarantees in a scenario, or leaves the fleet running. */
public final class DemoCommand implements Command {
    @Override
    public List<String> words() {
        return List.of("demo");
    }

    @Override
    public String help() {
        return "start a small fleet, send requests of each kind, kill a router and check the guarantees";
    }

    @Override
    public List<Flag> flags() {
        return List.of(
                DemoSettings.HOLD,
                DemoSettings.DESCRIBE,
                DemoSettings.DATA_CENTRES,
                DemoSettings.ROUTERS_PER_DATA_CENTRE,
                DemoSettings.ENGINES,
                DemoSettings.SEED);
    }

    @Override
    public ExitCode run(Arguments arguments, CommandContext context) {
        DemoSettings settings = DemoSettings.of(arguments);
        try (DemoFleet fleet = DemoFleet.start(settings, context)) {
            settings.describe().ifPresent(fleet::describe);
            if (settings.hold()) {
                return hold(context);
            }
            DemoReport report = DemoReport.to(context.output());
            DemoScenario.of(fleet, report, settings.seed()).run();
            return report.finish() ? ExitCode.OK : ExitCode.FAILED;
        }
    }

    private static ExitCode hold(CommandContext context) {
        context.output().line("the fleet is ready; it runs until this process is asked to stop");
        Thread waiting = Thread.currentThread();
        Thread stop = new Thread(waiting::interrupt, "stop");
        Runtime.getRuntime().addShutdownHook(stop);
        try {
            Thread.sleep(Long.MAX_VALUE);
        } catch (InterruptedException exception) {
            context.output().note("stopping the fleet");
        }
        return ExitCode.OK;
    }
}
