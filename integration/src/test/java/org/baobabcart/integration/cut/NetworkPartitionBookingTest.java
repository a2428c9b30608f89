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

/** Bookings run at most once, and their callers end honestly, while data centres are cut from each other. */
class NetworkPartitionBookingTest {
    private static final int KEYS = 12;
    private static NetworkPartitionFleet fleet;

    private final Caller caller = fleet.caller();
    private final FleetNetwork network = fleet.network();
    private final BookingOutcomes endings = BookingOutcomes.create();

    @BeforeAll
    static void start() {
        fleet = NetworkPartitionFleet.start("cut-bookings");
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    @AfterEach
    void noKeyRanTwiceAndEveryCallerEndedHonestly() {
        network.heal();
        fleet.awaitWhole();
        endings.assertHonest(fleet.runsByKey(), fleet.requestsRun());
    }

    @Test
    void theSameKeysOnBothSidesOfACut() {
        network.cut(NetworkPartitionFleet.NEAR, NetworkPartitionFleet.FAR);
        bookEverywhereDuringTheCutAndAfterIt("both-ways", true);
    }

    @Test
    void theSameKeysOnBothSidesOfACutThatBothHaveNoticed() {
        network.cut(NetworkPartitionFleet.NEAR, NetworkPartitionFleet.FAR);
        fleet.awaitCutOff();
        bookEverywhereDuringTheCutAndAfterIt("noticed", true);
    }

    @Test
    void theSameKeysWhereOneDirectionIsCut() {
        network.cutOneWay(NetworkPartitionFleet.NEAR, NetworkPartitionFleet.FAR);
        bookEverywhereDuringTheCutAndAfterIt("there", true);
        network.cutOneWay(NetworkPartitionFleet.FAR, NetworkPartitionFleet.NEAR);
        bookEverywhereDuringTheCutAndAfterIt("back", true);
    }

    @Test
    void theSameKeysWhereConnectionsAreReset() {
        network.cut(NetworkPartitionFleet.NEAR, NetworkPartitionFleet.FAR);
        network.reset();
        bookEverywhereDuringTheCutAndAfterIt("reset", true);
    }

    @Test
    void theSameKeysWhereOneSideReachesThePlatformOnlyThroughTheOther() {
        network.cut(NetworkPartitionFleet.NEAR, FleetNetwork.PLATFORM);
        bookEverywhereDuringTheCutAndAfterIt("through-the-other", false);
    }

    @Test
    void aSideThatIsCutOffFromThePlatformTooRefusesTruly() {
        network.cut(NetworkPartitionFleet.NEAR, NetworkPartitionFleet.FAR);
        network.cut(NetworkPartitionFleet.NEAR, FleetNetwork.PLATFORM);
        List<String> keys = BookingOutcomes.keys("cut-off", KEYS);
        for (FleetNode router : fleet.routers(NetworkPartitionFleet.NEAR)) {
            List<CallerResponse> refused = endings.all(keys.stream()
                    .map(key -> caller.book(router, key + router.name()))
                    .toList());
            assertThat(
                    refused.stream().map(CallerResponse::code).toList(),
                    everyItem(equalTo(ResultCode.CLAIM_UNAVAILABLE.number())));
        }
        bookEverywhereDuringTheCutAndAfterIt("one-side", false);
    }

    /** Books at all routers at once, and again after the cut; the keys then have one end, the same at each router. */
    private void bookEverywhereDuringTheCutAndAfterIt(String name, boolean bookableNear) {
        List<String> keys = BookingOutcomes.keys(name, KEYS);
        List<CompletableFuture<CallerResponse>> calls = new ArrayList<>();
        keys.forEach(key -> fleet.routers().forEach(router -> calls.add(caller.book(router, key))));
        endings.all(calls);
        List<String> sides = bookableNear
                ? List.of(NetworkPartitionFleet.NEAR, NetworkPartitionFleet.FAR)
                : List.of(NetworkPartitionFleet.FAR);
        sides.forEach(side -> awaitNewBooking(fleet.routers(side).get(0), name + "-" + side));
        network.heal();
        fleet.awaitWhole();
        for (String key : keys) {
            Await.until(key + " has one end everywhere", () -> ends(key).size() == 1);
        }
    }

    private void awaitNewBooking(FleetNode router, String name) {
        List<String> more = IntStream.range(0, 1000)
                .mapToObj(index -> name + "-more-" + index)
                .toList();
        var next = more.iterator();
        Await.until(
                router.name() + " books",
                () -> endings.one(caller.book(router, next.next())).booked());
    }

    /** The ends of a key as each router tells them: a booking, or that nobody knows. */
    private Set<String> ends(String key) {
        Set<String> ends = new java.util.HashSet<>();
        for (CallerResponse reply : endings.all(
                fleet.routers().stream().map(router -> caller.book(router, key)).toList())) {
            boolean unknown = reply.code() == ResultCode.OUTCOME_UNKNOWN.number();
            ends.add(reply.booked() ? reply.booking() : unknown ? "unknown" : "not yet " + reply.requestId());
        }
        return ends;
    }
}
