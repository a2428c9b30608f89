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
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.platform.VirtualMachine.Role;
import org.baobabcart.model.platform.VirtualMachine.State;
import org.junit.jupiter.api.Test;

/** Replication of the list of VMs in a simulated fleet with real membership and list controllers. */
class FleetMachinesTest {
    private static final Duration LEAVING_BOUND = Duration.ofSeconds(5);
    private static final Duration CONVERGENCE_BOUND = Duration.ofMinutes(3);
    private static final Duration MAX_AGE = Duration.ofSeconds(30);
    private static final Duration WARM_UP = Duration.ofSeconds(20);
    private static final Duration MEASURED = Duration.ofSeconds(30);
    private static final int NODES = 6;
    private static final int ENGINES = 8;
    private static final int TARGET_ROUTERS = 450;
    private static final int TARGET_DATA_CENTRES = 10;
    private static final long TARGET_READS_PER_SECOND = 40;
    private static final int CHANGES_MEASURED = 3;
    private static final long CONTROL_BYTES_PER_SECOND = 2_048;

    @Test
    void leavingUpstreamPropagatesWithinFiveSecondsAfterAllReadersOfADataCentreFail() {
        FleetSimulation fleet = fleetWithEngines(12, 2, 11);
        listReaders(fleet).stream()
                .filter(node -> node.dataCentre().equals("dc-0"))
                .forEach(SimulatedRouter::stop);
        assertThat(timeUntilLeavingIsVisible(fleet, 0).orElseThrow(), lessThanOrEqualTo(LEAVING_BOUND));
    }

    @Test
    void leavingUpstreamPropagatesWithinFiveSecondsAfterAllReadersFail() {
        FleetSimulation fleet = fleetWithEngines(12, 2, 12);
        listReaders(fleet).forEach(SimulatedRouter::stop);
        assertThat(timeUntilLeavingIsVisible(fleet, 0).orElseThrow(), lessThanOrEqualTo(LEAVING_BOUND));
    }

    @Test
    void leavingUpstreamPropagatesWithinFiveSecondsAfterAllReadersLoseTheList() {
        FleetSimulation fleet = fleetWithEngines(12, 2, 13);
        listReaders(fleet).forEach(node -> node.list.setDisconnected(true));
        assertThat(timeUntilLeavingIsVisible(fleet, 0).orElseThrow(), lessThanOrEqualTo(LEAVING_BOUND));
    }

    @Test
    void isolatedRouterReadsTheListItself() {
        FleetSimulation fleet = fleetWithEngines(12, 2, 14);
        fleet.network.setPartition((from, to) -> true);
        assertThat(timeUntilLeavingIsVisible(fleet, 0).orElseThrow(), lessThanOrEqualTo(LEAVING_BOUND));
        assertThat(fleet.nodes.stream().allMatch(SimulatedRouter::isListReader), is(true));
        fleet.network.setPartition((from, to) -> false);
        fleet.advance(Duration.ofMinutes(1));
        assertThat(fleet.nodes.stream().filter(SimulatedRouter::isListReader).count(), is(4L));
    }

    @Test
    void routerStartedDuringAListOutageFetchesTheListFromAPeer() {
        FleetSimulation fleet = fleetWithEngines(4, 1, 15);
        fleet.list.setOutage(true);
        fleet.restart(3);
        Optional<Duration> time =
                fleet.timeUntil(() -> fleet.nodes.get(3).upstreams().size() == ENGINES, Duration.ofSeconds(2));
        assertThat(time.isPresent(), is(true));
    }

    @Test
    void massDisappearanceFromTheListRemovesVmsGradually() {
        FleetSimulation fleet = fleetWithEngines(4, 2, 16);
        List<VirtualMachine> before = fleet.list.machines();
        fleet.list.replaceAll(before.subList(0, 1));
        fleet.advance(Duration.ofSeconds(25));
        assertThat(allHold(fleet, before), is(true));
        fleet.advance(Duration.ofSeconds(30));
        assertThat(fleet.nodes.stream().allMatch(node -> node.upstreams().size() == ENGINES - 2), is(true));
        fleet.list.replaceAll(before);
        assertThat(fleet.timeUntil(() -> allHold(fleet, before), LEAVING_BOUND).isPresent(), is(true));
    }

    @Test
    void laggingReaderDoesNotRevertANewerChange() {
        FleetSimulation fleet = fleetWithEngines(4, 1, 19);
        listReaders(fleet).get(0).list.setLag(Duration.ofSeconds(3));
        fleet.advance(Duration.ofSeconds(5));
        timeUntilLeavingIsVisible(fleet, 0).orElseThrow();
        boolean undone = fleet.timeUntil(
                        () -> fleet.nodes.stream().anyMatch(node -> isLive(node, 0)), Duration.ofSeconds(20))
                .isPresent();
        assertThat(undone, is(false));
    }

    @Test
    void staleStatementOfAFailedReaderIsCorrected() {
        FleetSimulation fleet = fleetWithEngines(2, 1, 20);
        SimulatedRouter lagging = listReaders(fleet).get(0);
        SimulatedRouter other = listReaders(fleet).get(1);
        lagging.list.setLag(Duration.ofSeconds(4));
        fleet.advance(Duration.ofSeconds(5));
        timeUntilLeavingIsVisible(fleet, 0).orElseThrow();
        fleet.list.put(engine(0, State.LIVE, "v0"));
        fleet.timeUntil(() -> isLive(other, 0), LEAVING_BOUND).orElseThrow();
        fleet.timeUntil(() -> !isLive(other, 0), LEAVING_BOUND).orElseThrow();
        lagging.stop();
        assertThat(fleet.timeUntil(() -> isLive(other, 0), MAX_AGE).isPresent(), is(true));
    }

    @Test
    void oldDifferenceIsFetched() {
        FleetSimulation fleet = fleetWithEngines(2, 1, 21);
        SimulatedRouter wrong = fleet.nodes.get(1);
        fleet.network.setPartition((from, to) -> true);
        wrong.list.overrideEntry(engine(0, State.LIVE, "v0"));
        leave(fleet, 0);
        for (int change = 0; change < 2 * ENGINES; change++) {
            fleet.advance(LEAVING_BOUND);
            fleet.list.put(engine(1, State.LIVE, "v" + change));
        }
        fleet.advance(LEAVING_BOUND);
        assertThat(isLive(wrong, 0), is(true));
        wrong.list.setDisconnected(true);
        fleet.network.setPartition((from, to) -> false);
        assertThat(fleet.timeUntil(() -> !isLive(wrong, 0), MAX_AGE).isPresent(), is(true));
    }

    @Test
    void fleetOfTheTargetSizeStaysWithinItsReadAndTrafficBudgets() {
        FleetSimulation fleet = fleetWithEngines(TARGET_ROUTERS, TARGET_DATA_CENTRES, 17);
        fleet.advance(Duration.ofSeconds(70));
        long reads = fleet.list.reads();
        long bytes = fleet.network.bytes();
        for (int change = 1; change <= CHANGES_MEASURED; change++) {
            fleet.list.put(engine(change, State.LEAVING, "v0"));
            fleet.advance(MEASURED.dividedBy(CHANGES_MEASURED));
        }
        assertThat((fleet.list.reads() - reads) / MEASURED.toSeconds(), lessThanOrEqualTo(TARGET_READS_PER_SECOND));
        long bytesPerNodeAndSecond = 2 * (fleet.network.bytes() - bytes) / TARGET_ROUTERS / MEASURED.toSeconds();
        assertThat(bytesPerNodeAndSecond, lessThanOrEqualTo(CONTROL_BYTES_PER_SECOND));
        assertThat(timeUntilLeavingIsVisible(fleet, 0).orElseThrow(), lessThanOrEqualTo(LEAVING_BOUND));
    }

    /**
     * No router that reaches the list keeps an entry that the list has not shown for the maximum age, and after any
     * history all routers converge to the list.
     */
    @Property(tries = 60, seed = "7811", shrinking = ShrinkingMode.OFF)
    void routersThatReachTheListStayCurrentAndAllConverge(
            @ForAll @Size(max = 40) List<@IntRange(max = 1023) Integer> steps) {
        FleetSimulation fleet = fleetWithEngines(NODES, 2, 18);
        for (int step : steps) {
            step(fleet, step);
            fleet.advance(Duration.ofMillis(400L * (step % 7)));
            fleet.nodes.stream()
                    .filter(node -> node.reachedListFor(MAX_AGE))
                    .forEach(node -> assertHoldsNothingStale(fleet, node));
        }
        fleet.network.setPartition((from, to) -> false);
        fleet.list.setOutage(false);
        fleet.nodes.forEach(node -> node.setListCut(false));
        leave(fleet, 0);
        Optional<Duration> agreed = fleet.timeUntil(() -> allHold(fleet, fleet.list.machines()), CONVERGENCE_BOUND);
        assertThat("converged", agreed.isPresent(), is(true));
    }

    private static void step(FleetSimulation fleet, int step) {
        int argument = step / 8;
        SimulatedRouter node = fleet.nodes.get(argument % NODES);
        switch (step % 8) {
            case 0 -> fleet.restart(argument % NODES);
            case 1 -> fleet.network.setPartition((from, to) -> (side(from, argument) != side(to, argument)));
            case 2 -> node.setListCut(true);
            case 3 -> node.setListCut(false);
            case 4 -> fleet.network.setPartition((from, to) -> false);
            case 5 -> node.list.setLag(Duration.ofMillis(argument % 3 * 500));
            case 6 -> fleet.list.put(engine(argument % ENGINES, State.LIVE, "v" + argument));
            default -> leave(fleet, argument % ENGINES);
        }
    }

    private static int side(String address, int sideBits) {
        int index = Integer.parseInt(address.substring("host-".length(), address.indexOf(':')));
        return sideBits >> index & 1;
    }

    private static void assertHoldsNothingStale(FleetSimulation fleet, SimulatedRouter node) {
        for (int index = 0; index < ENGINES; index++) {
            String name = engine(index, State.LIVE, "v0").name();
            boolean shown = fleet.list.hasContained(name, node.upstream(name), MAX_AGE);
            assertThat(name + " held as " + node.upstream(name), shown, is(true));
        }
    }

    private static FleetSimulation fleetWithEngines(int size, int dataCentres, long seed) {
        FleetSimulation fleet = new FleetSimulation(size, dataCentres, seed);
        for (int index = 0; index < ENGINES; index++) {
            fleet.list.put(engine(index, State.LIVE, "v0"));
        }
        fleet.advance(WARM_UP);
        return fleet;
    }

    private static Optional<Duration> timeUntilLeavingIsVisible(FleetSimulation fleet, int index) {
        leave(fleet, index);
        String name = engine(index, State.LEAVING, "v0").name();
        return fleet.timeUntil(
                () -> fleet.nodes.stream()
                        .filter(node -> !node.isStopped())
                        .allMatch(node -> node.upstream(name)
                                .filter(machine -> machine.state() == State.LEAVING)
                                .isPresent()),
                CONVERGENCE_BOUND);
    }

    private static List<SimulatedRouter> listReaders(FleetSimulation fleet) {
        return fleet.nodes.stream().filter(SimulatedRouter::isListReader).toList();
    }

    private static boolean isLive(SimulatedRouter node, int index) {
        return node.upstream(engine(index, State.LIVE, "v0").name())
                .filter(machine -> machine.state() == State.LIVE)
                .isPresent();
    }

    private static boolean allHold(FleetSimulation fleet, List<VirtualMachine> machines) {
        return fleet.nodes.stream().allMatch(node -> node.upstreams().equals(machines));
    }

    private static void leave(FleetSimulation fleet, int index) {
        fleet.list.put(engine(index, State.LEAVING, "v0"));
    }

    private static VirtualMachine engine(int index, State state, String version) {
        return new VirtualMachine("engine-" + index, Role.ENGINE, "dc-0", state, "http://e:1", "layout", version, "");
    }
}
