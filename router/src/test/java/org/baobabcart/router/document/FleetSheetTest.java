package org.baobabcart.router.document;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.baobabcart.router.member.Member;
import org.junit.jupiter.api.Test;

/** Distribution of sheets and membership in a simulated fleet with real controllers. */
class FleetSheetTest {
    private static final Duration BOUND = Duration.ofMinutes(3);
    private static final int NODES = 4;
    private static final int LARGE_FLEET = 150;
    private static final int LARGE_FLEET_DATA_CENTRES = 5;
    private static final long CONTROL_BYTES_PER_SECOND = 2_048;
    private static final Duration MEASURED = Duration.ofSeconds(30);

    @Test
    void publishedSheetIsAppliedEverywhereWithinTwoSecondsWithFewWatches() {
        FleetSimulation fleet = new FleetSimulation(12, 2, 1);
        fleet.advance(Duration.ofSeconds(10));
        fleet.publish("morning");
        Optional<Duration> time = fleet.timeUntil(() -> fleet.allHave(1), BOUND);
        assertThat(time.orElseThrow(), lessThanOrEqualTo(Duration.ofSeconds(2)));
        assertThat(fleet.store.watches(), is(4));
    }

    @Test
    void nodeStartedDuringAPlatformOutageFetchesTheSheetFromAPeer() {
        FleetSimulation fleet = new FleetSimulation(3, 1, 2);
        fleet.publish("morning");
        fleet.advance(Duration.ofSeconds(10));
        fleet.store.setOutage(true);
        fleet.restart(2);
        assertThat(
                fleet.timeUntil(() -> fleet.allHave(1), Duration.ofSeconds(2)).isPresent(), is(true));
        assertThat(fleet.nodes.get(2).source(), is(DocumentSource.PEER));
    }

    @Test
    void watchIsReassignedWhenItsWatcherFails() {
        FleetSimulation fleet = new FleetSimulation(4, 1, 3);
        fleet.advance(Duration.ofSeconds(10));
        fleet.nodes.get(0).stop();
        fleet.nodes.get(1).stop();
        fleet.advance(Duration.ofSeconds(30));
        assertThat(fleet.store.watches(), is(2));
    }

    @Test
    void failedNodeIsDetectedAndLeavingNodeIsAnnouncedImmediately() {
        FleetSimulation fleet = new FleetSimulation(4, 2, 4);
        fleet.advance(Duration.ofSeconds(10));
        fleet.nodes.get(3).leave();
        fleet.loop.runAll();
        assertThat(fleet.nodes.get(0).stateOf("node-3"), is(Optional.of(Member.State.LEAVING)));
        fleet.nodes.get(2).stop();
        boolean found = fleet.timeUntil(
                        () -> fleet.nodes.get(0).stateOf("node-2").equals(Optional.of(Member.State.DEAD)),
                        Duration.ofSeconds(20))
                .isPresent();
        assertThat(found, is(true));
    }

    @Test
    void controlTrafficOfALargeFleetStaysWithinItsBudget() {
        FleetSimulation fleet = new FleetSimulation(LARGE_FLEET, LARGE_FLEET_DATA_CENTRES, 6);
        fleet.publish("morning");
        fleet.advance(Duration.ofSeconds(100));
        assertThat(fleet.allHave(1), is(true));
        assertThat(fleet.allSeeAllNodes(), is(true));
        long bytes = fleet.network.bytes();
        fleet.advance(MEASURED);
        long bytesPerNodeAndSecond = 2 * (fleet.network.bytes() - bytes) / LARGE_FLEET / MEASURED.toSeconds();
        assertThat(bytesPerNodeAndSecond, lessThanOrEqualTo(CONTROL_BYTES_PER_SECOND));
        assertThat(fleet.store.watches(), is(2 * LARGE_FLEET_DATA_CENTRES));
        fleet.publish("noon");
        Optional<Duration> time = fleet.timeUntil(() -> fleet.allHave(2), BOUND);
        assertThat(time.orElseThrow(), lessThanOrEqualTo(Duration.ofSeconds(2)));
    }

    /**
     * A node that is cut off from the platform and from some of its peers must neither apply an older generation nor
     * stay behind permanently. The history consists of network cuts, platform outages, restarts and publishes.
     */
    @Property(tries = 60, seed = "7801", shrinking = ShrinkingMode.OFF)
    void generationsNeverDecreaseAndAllNodesConverge(@ForAll @Size(max = 30) List<@IntRange(max = 255) Integer> steps) {
        FleetSimulation fleet = new FleetSimulation(NODES, 2, 5);
        long published = 0;
        for (int step : steps) {
            published += step(fleet, step);
            fleet.advance(Duration.ofMillis(300L * (step % 5)));
            assertThat(fleet.nodes.stream().noneMatch(SimulatedRouter::generationDecreased), is(true));
        }
        restoreAll(fleet);
        long last = fleet.publish("last").generation();
        assertThat(last, is(published + 1));
        Optional<Duration> agreed = fleet.timeUntil(() -> fleet.allHave(last) && fleet.allSeeAllNodes(), BOUND);
        assertThat("converged: " + fleet.generations(), agreed.isPresent(), is(true));
    }

    private static int step(FleetSimulation fleet, int step) {
        int argument = step / 8;
        switch (step % 8) {
            case 0 -> fleet.restart(argument % NODES);
            case 1 -> partition(fleet, argument);
            case 2 -> fleet.nodes.get(argument % NODES).store.setDisconnected(true);
            case 3 -> fleet.nodes.get(argument % NODES).store.setDisconnected(false);
            case 4 -> fleet.store.setOutage(true);
            case 5 -> fleet.store.setOutage(false);
            case 6 -> fleet.network.setPartition((from, to) -> false);
            default -> {
                fleet.store.setOutage(false);
                fleet.publish("step-" + step);
                return 1;
            }
        }
        return 0;
    }

    private static void partition(FleetSimulation fleet, int sideBits) {
        boolean[] side = new boolean[NODES];
        for (int node = 0; node < NODES; node++) {
            side[node] = (sideBits >> node & 1) == 1;
        }
        fleet.network.setPartition((from, to) -> side[index(from)] != side[index(to)]);
    }

    private static int index(String address) {
        return Integer.parseInt(address.substring("host-".length(), address.indexOf(':')));
    }

    private static void restoreAll(FleetSimulation fleet) {
        fleet.network.setPartition((from, to) -> false);
        fleet.store.setOutage(false);
        fleet.nodes.forEach(node -> node.store.setDisconnected(false));
        fleet.loop.runAll();
    }
}
