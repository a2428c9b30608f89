package org.baobabcart.integration.cut;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.baobabcart.integration.support.Await;
import org.baobabcart.integration.support.BookingOutcomes;
import org.baobabcart.integration.support.Caller;
import org.baobabcart.integration.support.CallerResponse;
import org.baobabcart.launcher.FleetNetwork;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.model.result.ResultCode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Checks that bookings run at most once and that their responses are true while data centres are partitioned. */
class NetworkPartitionBookingTest {
    private static final int KEYS = 12;
    private static NetworkPartitionFleet fleet;

    private final Caller caller = fleet.caller();
    private final FleetNetwork network = fleet.network();
    private final BookingOutcomes outcomes = BookingOutcomes.create();

    @BeforeAll
    static void start() {
        fleet = NetworkPartitionFleet.start("cut-bookings");
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    @AfterEach
    void checkBookings() {
        network.heal();
        fleet.awaitConnected();
        outcomes.assertConsistent(fleet.runsByKey(), fleet.requestsRun());
    }

    @Test
    void sameKeysOnBothSidesOfAPartition() {
        network.cut(NetworkPartitionFleet.NEAR, NetworkPartitionFleet.FAR);
        bookDuringAndAfterPartition("both-ways", true);
    }

    @Test
    void sameKeysOnBothSidesOfADetectedPartition() {
        network.cut(NetworkPartitionFleet.NEAR, NetworkPartitionFleet.FAR);
        fleet.awaitPartitionDetected();
        bookDuringAndAfterPartition("noticed", true);
    }

    @Test
    void sameKeysDuringAOneWayPartition() {
        network.cutOneWay(NetworkPartitionFleet.NEAR, NetworkPartitionFleet.FAR);
        bookDuringAndAfterPartition("there", true);
        network.cutOneWay(NetworkPartitionFleet.FAR, NetworkPartitionFleet.NEAR);
        bookDuringAndAfterPartition("back", true);
    }

    @Test
    void sameKeysWhileConnectionsAreReset() {
        network.cut(NetworkPartitionFleet.NEAR, NetworkPartitionFleet.FAR);
        network.reset();
        bookDuringAndAfterPartition("reset", true);
    }

    @Test
    void sameKeysWhileOneSideReachesThePlatformOnlyThroughTheOther() {
        network.cut(NetworkPartitionFleet.NEAR, FleetNetwork.PLATFORM);
        bookDuringAndAfterPartition("through-the-other", false);
    }

    @Test
    void sideCutOffFromThePlatformRejectsBookingsWithoutRunningThem() {
        network.cut(NetworkPartitionFleet.NEAR, NetworkPartitionFleet.FAR);
        network.cut(NetworkPartitionFleet.NEAR, FleetNetwork.PLATFORM);
        List<String> keys = BookingOutcomes.keys("cut-off", KEYS);
        for (FleetNode router : fleet.routers(NetworkPartitionFleet.NEAR)) {
            List<CallerResponse> rejected = outcomes.awaitAll(keys.stream()
                    .map(key -> caller.book(router, key + router.name()))
                    .toList());
            assertThat(
                    rejected.stream().map(CallerResponse::code).toList(),
                    everyItem(equalTo(ResultCode.CLAIM_UNAVAILABLE.number())));
        }
        bookDuringAndAfterPartition("one-side", false);
    }

    /**
     * Books at all routers during the partition and again after it. Each key must then have the same outcome at every
     * router.
     */
    private void bookDuringAndAfterPartition(String name, boolean bookableNear) {
        List<String> keys = BookingOutcomes.keys(name, KEYS);
        List<CompletableFuture<CallerResponse>> calls = new ArrayList<>();
        keys.forEach(key -> fleet.routers().forEach(router -> calls.add(caller.book(router, key))));
        outcomes.awaitAll(calls);
        List<String> sides = bookableNear
                ? List.of(NetworkPartitionFleet.NEAR, NetworkPartitionFleet.FAR)
                : List.of(NetworkPartitionFleet.FAR);
        sides.forEach(side -> awaitNewBooking(fleet.routers(side).get(0), name + "-" + side));
        network.heal();
        fleet.awaitConnected();
        for (String key : keys) {
            Await.until(
                    key + " has the same outcome at every router",
                    () -> outcomesOf(key).size() == 1);
        }
    }

    private void awaitNewBooking(FleetNode router, String name) {
        List<String> more = IntStream.range(0, 1000)
                .mapToObj(index -> name + "-more-" + index)
                .toList();
        var next = more.iterator();
        Await.until(
                router.name() + " books",
                () -> outcomes.await(caller.book(router, next.next())).isBooked());
    }

    /** Returns the distinct outcomes of a key as reported by the routers: a booking or "unknown". */
    private Set<String> outcomesOf(String key) {
        Set<String> distinct = new java.util.HashSet<>();
        for (CallerResponse response : outcomes.awaitAll(
                fleet.routers().stream().map(router -> caller.book(router, key)).toList())) {
            boolean unknown = response.code() == ResultCode.OUTCOME_UNKNOWN.number();
            distinct.add(
                    response.isBooked() ? response.booking() : unknown ? "unknown" : "not yet " + response.requestId());
        }
        return distinct;
    }
}
