package org.baobabcart.cli.fleet;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Waits until all live routers have applied a change. Not thread-safe. */
public final class ChangePropagation {
    private static final Duration POLL_PERIOD = Duration.ofMillis(200);

    private final FleetFinder finder;
    private final PollClock clock;

    private ChangePropagation(FleetFinder finder, PollClock clock) {
        this.finder = finder;
        this.clock = clock;
    }

    /** Creates a wait that rediscovers the routers at each poll, since the set of live routers may change. */
    public static ChangePropagation create(FleetFinder finder, PollClock clock) {
        return new ChangePropagation(finder, clock);
    }

    /**
     * Polls until the status of every live router satisfies a condition or the timeout elapses.
     *
     * @param isApplied whether a router's status shows that the change is applied
     * @param timeout the maximum time to wait
     * @param progress called after each poll in which the change is not yet applied everywhere
     * @return the live routers that have not applied the change
     */
    public List<FleetRouter> await(Predicate<RouterStatus> isApplied, Duration timeout, Consumer<Progress> progress) {
        long deadline = clock.nanoTime() + timeout.toNanos();
        while (true) {
            Fleet fleet = finder.find();
            List<FleetRouter> pending = fleet.routers().stream()
                    .filter(router -> router.status().filter(isApplied).isEmpty())
                    .toList();
            if (pending.isEmpty() || clock.nanoTime() >= deadline) {
                return pending;
            }
            progress.accept(new Progress(
                    fleet.routers().size() - pending.size(), fleet.routers().size()));
            clock.sleep(POLL_PERIOD);
        }
    }

    /**
     * Progress of a change. Immutable.
     *
     * @param applied the number of live routers that have applied the change
     * @param total the number of live routers
     */
    public record Progress(int applied, int total) {}
}
