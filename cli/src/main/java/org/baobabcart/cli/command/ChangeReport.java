package org.baobabcart.cli.command;

import java.util.List;
import java.util.function.Predicate;
import org.baobabcart.cli.CommandContext;
import org.baobabcart.cli.ExitCode;
import org.baobabcart.cli.fleet.FleetRouter;
import org.baobabcart.cli.fleet.InForce;
import org.baobabcart.cli.fleet.RouterStatus;
import org.baobabcart.cli.settings.Arguments;
import org.baobabcart.cli.settings.CommonFlags;

/**
 * The end of a command that changed something: whether the change is in force everywhere. Immutable.
 *
 * @param change what was changed
 * @param generation the generation that the change made
 * @param lacking names of live routers without it
 */
record ChangeReport(String change, long generation, List<String> lacking) {
    private static final long MOST_SECONDS = 3_600;

    /** Waits until the change is in force on every live router and prints the outcome. */
    static ExitCode awaitAndPrint(
            String change, long generation, Predicate<RouterStatus> has, Arguments arguments, CommandContext context) {
        boolean json = arguments.isSet(CommonFlags.JSON);
        InForce inForce = InForce.create(PlatformObjects.finder(arguments, context), context.pauses());
        List<FleetRouter> lacking = inForce.await(
                has,
                arguments.seconds(CommonFlags.TIMEOUT_SECONDS, MOST_SECONDS),
                progress ->
                        context.output().note("in force on " + progress.have() + " of " + progress.all() + " routers"));
        ChangeReport report = new ChangeReport(
                change, generation, lacking.stream().map(FleetRouter::name).toList());
        if (json) {
            context.output().json(report);
        } else {
            report.print(lacking, context);
        }
        return lacking.isEmpty() ? ExitCode.OK : ExitCode.INCOMPLETE;
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
