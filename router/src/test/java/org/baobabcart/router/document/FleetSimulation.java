package org.baobabcart.router.document;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.router.sheet.PublishRequest;
import org.baobabcart.router.sheet.SheetPublisher;
import org.baobabcart.router.testing.FakeMachineList;
import org.baobabcart.router.testing.InMemoryObjectStore;
import org.baobabcart.router.testing.ManualExecutor;
import org.baobabcart.router.testing.ManualTimerService;
import org.baobabcart.router.testing.PeerNetwork;
import org.baobabcart.router.testing.TestSheets;

/**
 * Simulated fleet of routers with real membership, sheet and VM list controllers, on an in-memory platform, network and
 * clock.
 */
final class FleetSimulation {
    private static final Duration TICK = Duration.ofMillis(100);

    final InMemoryObjectStore store = InMemoryObjectStore.create();
    final ManualTimerService timers = ManualTimerService.create();
    final ManualExecutor loop = ManualExecutor.create();
    final PeerNetwork network = PeerNetwork.create();
    final FakeMachineList list = FakeMachineList.create(timers);
    final SplittableRandom random;
    final List<SimulatedRouter> nodes = new ArrayList<>();
    private final int dataCentres;

    FleetSimulation(int size, int dataCentres, long seed) {
        this.random = new SplittableRandom(seed);
        this.dataCentres = dataCentres;
        timers.advance(Duration.ofSeconds(1));
        for (int index = 0; index < size; index++) {
            nodes.add(SimulatedRouter.start(
                    this, index, List.of(SimulatedRouter.address(0), SimulatedRouter.address(1))));
        }
        loop.runAll();
    }

    String dataCentre(int index) {
        return "dc-" + index % dataCentres;
    }

    void advance(Duration duration) {
        for (long ticks = duration.dividedBy(TICK); ticks > 0; ticks--) {
            timers.advance(TICK);
            loop.runAll();
        }
    }

    void restart(int index) {
        nodes.get(index).stop();
        advance(TICK);
        nodes.set(
                index,
                SimulatedRouter.start(this, index, List.of(SimulatedRouter.address(0), SimulatedRouter.address(1))));
        loop.runAll();
    }

    PublishedSheet publish(String name) {
        return publish(TestSheets.named(name));
    }

    PublishedSheet publish(Sheet sheet) {
        SheetPublisher publisher = SheetPublisher.create(store, timers, PublishSettings.defaults());
        PublishedSheet published = publisher
                .publish(PublishRequest.of(sheet, "operator"))
                .await()
                .indefinitely()
                .document();
        loop.runAll();
        return published;
    }

    List<Long> generations() {
        return nodes.stream().map(SimulatedRouter::generation).toList();
    }

    boolean allHave(long generation) {
        return generations().stream().allMatch(held -> held == generation);
    }

    boolean allSeeAllNodes() {
        return nodes.stream().allMatch(node -> node.liveOthers() == nodes.size() - 1);
    }

    /** Returns the time until the condition became true; empty if that did not happen within the bound. */
    Optional<Duration> timeUntil(java.util.function.BooleanSupplier condition, Duration bound) {
        Duration passed = Duration.ZERO;
        while (!condition.getAsBoolean()) {
            if (passed.compareTo(bound) >= 0) {
                return Optional.empty();
            }
            advance(TICK);
            passed = passed.plus(TICK);
        }
        return Optional.of(passed);
    }
}
