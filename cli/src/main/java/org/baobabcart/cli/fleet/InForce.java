package org.baobabcart.cli.fleet;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Waits until a change is in force on every live router. Used by one thread. */
public final class InForce {
    private static final Duration POLL_PERIOD = Duration.ofMillis(200);

    private final FleetFinder finder;
    private final Pauses pauses;

    private InForce(FleetFinder finder, Pauses pauses) {
        this.finder = finder;
        this.pauses = pauses;
    }

    /** A wait that looks for routers anew at each poll, since they may come and go. */
    public static InForce create(FleetFinder finder, Pauses pauses) {
        return new InForce(finder, pauses);
    }

    /**
     * Polls until each live router satisfies the condition or the time is up.
     *
     * @param has whether a router's status shows the change
     * @param timeout the longest time to wait
     * @param progress told of the number of routers without the change after each poll that leaves some
     * @return the routers that lack the change; empty when it is in force everywhere
     */
    public List<FleetRouter> await(Predicate<RouterStatus> has, Duration timeout, Consumer<Progress> progress) {
        long deadline = pauses.nanoTime() + timeout.toNanos();
        while (true) {
            Fleet fleet = finder.find();
            List<FleetRouter> lacking = fleet.routers().stream()
                    .filter(router -> router.status().filter(has).isEmpty())
                    .toList();
            if (lacking.isEmpty() || pauses.nanoTime() >= deadline) {
                return lacking;
            }
            progress.accept(new Progress(
                    fleet.routers().size() - lacking.size(), fleet.routers().size()));
            pauses.pause(POLL_PERIOD);
        }
    }

    /**
     * How far a change has come. Immutable.
     *
     * @param have routers that have it
     * @param all all live routers
     */
    public record Progress(int have, int all) {}
}
