package org.baobabcart.router.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.router.fleet.FleetController;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;

/**
 * Fleets in driven time: what they cost the store, and how late a change is at a router whose relays fail right before it.
 *
 * <p>The load is that of a day: a configuration that changes now and then, and upstreams that change all the time.
 */
class RelayFleetTest {
    private static final Duration START = Duration.ofSeconds(8);
    private static final String MAIN = "main";

    private final Vertx vertx = Vertx.vertx();
    private final RelayFleet fleet = new RelayFleet(vertx);

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Four routers follow by themselves: the baseline in the same load. */
    @Test
    void callsOfEachRouterFallWithTheFleet() {
        double alone = callsOfEachRouterInAMinute(4);
        double with29 = callsOfEachRouterInAMinute(29);
        double with63 = callsOfEachRouterInAMinute(63);
        double with300 = callsOfEachRouterInAMinute(300);
        assertThat(with29, lessThan(alone / 2));
        assertThat(with63, lessThan(with29));
        assertThat(with300, lessThan(with63));
    }

    private double callsOfEachRouterInAMinute(int routers) {
        RelayFleet own = new RelayFleet(vertx);
        List<RelayFleet.Node> nodes = own.start(routers);
        own.advance(START);
        int before = own.store.calls();
        for (int second = 0; second < 60; second++) {
            own.store.put("upstreams", "upstream-" + second % 7, second);
            own.advance(Duration.ofSeconds(1));
        }
        return (own.store.calls() - before) / (double) routers;
    }

    @Test
    void aSmallFleetFollowsTheStoreByItself() {
        List<RelayFleet.Node> nodes = fleet.start(4);
        fleet.advance(START);
        nodes.forEach(node -> assertThat(node.relayedKinds(), is(0)));
    }

    @Test
    void allRoutersTakeEachChange() {
        List<RelayFleet.Node> nodes = fleet.start(29);
        fleet.advance(START);
        Random random = new Random(4701);
        for (int step = 0; step < 200; step++) {
            changeSomething(random, step);
            fleet.advance(Duration.ofMillis(random.nextInt(300)));
        }
        fleet.advance(RelayFleet.BOUND);
        nodes.forEach(node -> assertThat(node.name, node.agreesWithStore(), is(true)));
        nodes.forEach(node -> assertThat(node.name, node.regressions, is(0L)));
        assertThat(nodes.stream().filter(node -> node.relayedKinds() > 0).count(), greaterThan(20L));
    }

    private void changeSomething(Random random, int value) {
        String name = "upstream-" + random.nextInt(9);
        if (random.nextInt(4) == 0) {
            fleet.store.remove("upstreams", name);
        } else {
            fleet.store.put(random.nextInt(5) == 0 ? RelayFleet.KIND : "upstreams", name, value);
        }
    }

    /** A way in which a router fails. */
    private enum Fault {
        KILLED {
            @Override
            void begin(RelayFleet.Node node) {
                node.kill();
            }
        },
        FROZEN {
            @Override
            void begin(RelayFleet.Node node) {
                node.setFrozen(true);
            }

            @Override
            void end(RelayFleet.Node node) {
                node.setFrozen(false);
            }
        },
        ISOLATED {
            @Override
            void begin(RelayFleet.Node node) {
                node.setIsolated(true);
            }

            @Override
            void end(RelayFleet.Node node) {
                node.setIsolated(false);
            }
        },
        CUT_FROM_THE_STORE {
            @Override
            void begin(RelayFleet.Node node) {
                node.link.setCut(true);
            }

            @Override
            void end(RelayFleet.Node node) {
                node.link.setCut(false);
            }
        };

        abstract void begin(RelayFleet.Node node);

        void end(RelayFleet.Node node) {}
    }

    private static List<RelayFleet.Node> relays(List<RelayFleet.Node> nodes) {
        return nodes.stream().filter(RelayFleet.Node::isRelay).toList();
    }

    /** The change is made right after all relays have failed at once, and reaches every sound router within the bound. */
    @ParameterizedTest
    @org.junit.jupiter.params.provider.EnumSource(Fault.class)
    void changeRightAfterTheLossOfAllRelaysTakesEffectInTime(Fault fault) {
        List<RelayFleet.Node> nodes = fleet.start(29);
        for (int round = 0; round < 6; round++) {
            fleet.advance(START.plusMillis(173L * round));
            List<RelayFleet.Node> failing = relays(nodes);
            assertThat(failing.size(), is(6));
            failing.forEach(fault::begin);
            fleet.advance(Duration.ofMillis(1 + 97L * round));
            fleet.store.put(RelayFleet.KIND, MAIN, round);
            fleet.advance(RelayFleet.BOUND);
            for (RelayFleet.Node node : nodes) {
                if (!failing.contains(node)) {
                    assertThat(node.name, node.value(MAIN), is(round));
                }
            }
            if (fault == Fault.KILLED) {
                break;
            }
            failing.forEach(fault::end);
            fleet.advance(START);
            nodes.forEach(node -> assertThat(node.name, node.agreesWithStore(), is(true)));
        }
        nodes.forEach(node -> assertThat(node.name, node.regressions, is(0L)));
    }

    /** The loss of one relay of each data centre delays nothing beyond the pause and the poll of the other one. */
    @ParameterizedTest
    @org.junit.jupiter.params.provider.EnumSource(Fault.class)
    void lossOfOneRelayDelaysNothing(Fault fault) {
        List<RelayFleet.Node> nodes = fleet.start(29);
        fleet.advance(START);
        List<RelayFleet.Node> failing = relays(nodes).stream()
                .filter(node -> node.name.hashCode() % 2 == 0)
                .limit(1)
                .toList();
        failing.forEach(fault::begin);
        int before = fleet.store.calls();
        fleet.store.put(RelayFleet.KIND, MAIN, 1);
        fleet.advance(Duration.ofMillis(500));
        nodes.stream()
                .filter(node -> !failing.contains(node))
                .forEach(node -> assertThat(node.name, node.value(MAIN), is(1)));
        assertThat(fleet.store.calls() - before, lessThanOrEqualTo(30));
    }

    /** After a fault, the routers return to their relays. */
    @Test
    void routersReturnToRelays() {
        List<RelayFleet.Node> nodes = fleet.start(29);
        fleet.advance(START);
        relays(nodes).forEach(node -> node.setFrozen(true));
        fleet.advance(Duration.ofSeconds(6));
        nodes.forEach(node -> node.setFrozen(false));
        fleet.advance(Duration.ofSeconds(30));
        assertThat(nodes.stream().filter(node -> node.relayedKinds() == 4).count(), is(23L));
    }

    /** All open polls break at once, as when a network device restarts: only the relays read lists. */
    @Test
    void brokenPollsCostOnlyTheRelaysLists() {
        List<RelayFleet.Node> nodes = fleet.start(29);
        fleet.advance(START);
        for (int round = 0; round < 5; round++) {
            int before = fleet.store.calls();
            fleet.store.put("upstreams", "upstream-1", round);
            fleet.store.breakPolls();
            fleet.store.remove("upstreams", "upstream-1");
            fleet.store.put("upstreams", "upstream-2", round);
            fleet.advance(Duration.ofSeconds(1));
            nodes.forEach(node -> assertThat(node.name, node.agreesWithStore(), is(true)));
            assertThat(fleet.store.calls() - before, lessThan(29 * 4));
            fleet.advance(START);
        }
        nodes.forEach(node -> assertThat(node.name, node.regressions, is(0L)));
        assertThat(relays(nodes).size(), is(6));
    }

    /** Polls hear nothing for a second while changes are made, then the history is dropped and they are cut. */
    @Test
    void historyThatIsDroppedLosesNothing() {
        List<RelayFleet.Node> nodes = fleet.start(29);
        fleet.advance(START);
        for (int round = 0; round < 5; round++) {
            fleet.store.setDeaf(true);
            fleet.store.put(RelayFleet.KIND, MAIN, round);
            fleet.store.remove("upstreams", "upstream-0");
            fleet.advance(Duration.ofSeconds(1));
            fleet.store.setDeaf(false);
            fleet.store.compact();
            fleet.store.put("upstreams", "upstream-0", round);
            fleet.advance(RelayFleet.BOUND);
            nodes.forEach(node -> assertThat(node.name, node.agreesWithStore(), is(true)));
        }
        nodes.forEach(node -> assertThat(node.name, node.regressions, is(0L)));
    }

    /** While the store refuses everyone, all keep what they know, and they agree with it again after its return. */
    @Test
    void outageOfTheStore() {
        List<RelayFleet.Node> nodes = fleet.start(29);
        fleet.store.put(RelayFleet.KIND, MAIN, 1);
        fleet.advance(START);
        nodes.forEach(node -> node.link.setRefused(true));
        fleet.advance(Duration.ofSeconds(10));
        fleet.store.put(RelayFleet.KIND, MAIN, 2);
        nodes.forEach(node -> assertThat(node.name, node.value(MAIN), is(1)));
        nodes.forEach(node -> node.link.setRefused(false));
        fleet.advance(Duration.ofSeconds(2));
        nodes.forEach(node -> assertThat(node.name, node.value(MAIN), is(2)));
    }

    /** Routers that are gone for good, relays among them, are removed from the list, and no live one stays removed. */
    @Test
    void registrationsOfLostRoutersAreRemoved() {
        List<RelayFleet.Node> nodes = fleet.start(29);
        fleet.advance(START);
        List<RelayFleet.Node> lost = List.of(
                relays(nodes).get(0), nodes.get(4), nodes.get(5), relays(nodes).get(3));
        lost.forEach(RelayFleet.Node::kill);
        fleet.advance(Duration.ofMinutes(5));
        List<String> registered = fleet.store.list(FleetController.KIND).stream()
                .map(StoredObject::name)
                .sorted()
                .toList();
        assertThat(
                registered,
                is(nodes.stream()
                        .filter(node -> !lost.contains(node))
                        .map(node -> node.name)
                        .sorted()
                        .toList()));
    }

    @Test
    void aFollowerThatWasFrozenCatchesUp() {
        List<RelayFleet.Node> nodes = fleet.start(29);
        fleet.advance(START);
        List<RelayFleet.Node> frozen =
                nodes.stream().filter(node -> !node.isRelay()).limit(5).toList();
        frozen.forEach(node -> node.setFrozen(true));
        Random random = new Random(4702);
        for (int step = 0; step < 40; step++) {
            changeSomething(random, step);
            fleet.advance(Duration.ofMillis(random.nextInt(300)));
        }
        frozen.forEach(node -> node.setFrozen(false));
        fleet.advance(RelayFleet.BOUND);
        nodes.forEach(node -> assertThat(node.name, node.agreesWithStore(), is(true)));
        nodes.forEach(node -> assertThat(node.name, node.regressions, is(0L)));
    }

    /** Decisions that rest on the list of routers are told its age at the store, whoever has passed it on. */
    @Test
    void theAgeOfRelayedNewsIsThatOfTheStoresLastAnswer() {
        List<RelayFleet.Node> nodes = fleet.start(29);
        fleet.advance(START.multipliedBy(2));
        nodes.forEach(node -> node.link.setCut(true));
        for (int second = 1; second <= 8; second++) {
            fleet.advance(Duration.ofSeconds(1));
            long lower = Duration.ofSeconds(second)
                    .minusMillis(RelayFleet.LATENCY_MILLIS)
                    .toNanos();
            nodes.forEach(node -> assertThat(node.name, node.fleetAgeNanos(), greaterThan(lower)));
        }
    }
}
