package org.baobabcart.router.relay;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.baobabcart.router.fleet.FleetController;
import org.baobabcart.router.fleet.FleetMember;
import org.baobabcart.router.platform.ObjectStore;

/**
 * Removes the registrations of routers that are gone for good. Confined to the control thread.
 *
 * <p>A router that is alive and whose registration is removed all the same registers again.
 */
final class StaleRegistrations {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Longer than a restart takes. A live router of which others expect a stream is asked once in this time. */
    private static final Duration PROBE_PERIOD = Duration.ofSeconds(60);
    /** The number of probes in a row without an answer after which a router counts as gone. */
    private static final int MISSES = 2;

    private final ObjectStore store;
    private final RelayNetwork network;
    private final RandomGenerator random;
    private final Map<String, Watched> watched = new HashMap<>();

    /** When a router is asked next, and how often it has not answered. */
    private static final class Watched {
        private long nextNanos;
        private int misses;

        private Watched(long nextNanos) {
            this.nextNanos = nextNanos;
        }
    }

    StaleRegistrations(ObjectStore store, RelayNetwork network, RandomGenerator random) {
        this.store = store;
        this.network = network;
        this.random = random;
    }

    /** Takes the routers that this one should hear of or be asked by, and asks those whose turn it is. */
    void review(Set<FleetMember> expected, long nowNanos) {
        watched.keySet().retainAll(expected.stream().map(FleetMember::name).collect(Collectors.toSet()));
        expected.forEach(member -> {
            Watched state = watched.computeIfAbsent(
                    member.name(), ignored -> new Watched(nowNanos + random.nextLong(PROBE_PERIOD.toNanos())));
            if (nowNanos - state.nextNanos >= 0) {
                state.nextNanos = nowNanos + PROBE_PERIOD.toNanos();
                network.probe(member.address(), hasAnswered -> onResult(member.name(), state, hasAnswered));
            }
        });
    }

    private void onResult(String name, Watched state, boolean hasAnswered) {
        state.misses = hasAnswered ? 0 : state.misses + 1;
        if (state.misses >= MISSES) {
            state.misses = 0;
            remove(name);
        }
    }

    /** The removal fails if the registration changes meanwhile. */
    private void remove(String name) {
        store.read(FleetController.KIND, name)
                .flatMap(store::delete)
                .subscribe()
                .with(
                        ignored -> LOGGER.atInfo().log("event=registration_removed router=%s", name),
                        failure -> LOGGER.atInfo().log(
                                "event=registration_not_removed router=%s cause=%s", name, failure.getMessage()));
    }
}
