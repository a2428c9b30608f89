package org.baobabcart.cli.command;

import java.util.List;
import java.util.function.Predicate;
import org.baobabcart.cli.CommandContext;
import org.baobabcart.cli.ExitCode;
import org.baobabcart.cli.fleet.ChangePropagation;
import org.baobabcart.cli.fleet.FleetRouter;
import org.baobabcart.cli.fleet.RouterStatus;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.CommonFlags;

/**
 * Result of a command that makes a change, printed once all live routers have applied it or the timeout has elapsed.
 * Immutable.
 *
 * @param change the description of the change
 * @param generation the generation that the change created
 * @param lacking the names of the live routers that have not applied the change
 */
record ChangeReport(String change, long generation, List<String> lacking) {
    private static final long MAX_SECONDS = 3_600;

    /** Waits until all live routers have applied the change and prints the result. */
    static ExitCode awaitAndPrint(
            String change,
            long generation,
            Predicate<RouterStatus> isApplied,
            Arguments arguments,
            CommandContext context) {
        boolean json = arguments.isSet(CommonFlags.JSON);
        ChangePropagation propagation =
                ChangePropagation.create(PlatformObjects.finder(arguments, context), context.clock());
        List<FleetRouter> pending = propagation.await(
                isApplied,
                arguments.seconds(CommonFlags.TIMEOUT_SECONDS, MAX_SECONDS),
                progress -> context.output()
                        .note("in force on " + progress.applied() + " of " + progress.total() + " routers"));
        ChangeReport report = new ChangeReport(
                change, generation, pending.stream().map(FleetRouter::name).toList());
        if (json) {
            context.output().json(report);
        } else {
            report.print(pending, context);
        }
        return pending.isEmpty() ? ExitCode.OK : ExitCode.INCOMPLETE;
    }

    private void print(List<FleetRouter> routers, CommandContext context) {
        if (routers.isEmpty()) {
            context.output().line(change + ": generation " + generation + " is in force on every live router");
            return;
        }
        context.output().line(change + ": generation " + generation + " is accepted but not yet in force on:");
        for (FleetRouter router : routers) {
            String problem = router.problem().isEmpty() ? "has an older generation" : router.problem();
            context.output().line("  " + router.name() + ": " + problem);
        }
    }
}
