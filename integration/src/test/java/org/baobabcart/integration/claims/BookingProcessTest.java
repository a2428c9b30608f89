package org.baobabcart.integration.claims;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.baobabcart.integration.support.Await;
import org.baobabcart.integration.support.BookingOutcomes;
import org.baobabcart.integration.support.Caller;
import org.baobabcart.integration.support.CallerResponse;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.claim.Attempt;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Checks that bookings run at most once while routers are killed or paused and the platform fails. */
class BookingProcessTest {
    private static final int KEYS = 12;
    private static final Duration LONGER_THAN_ANY_GRANT =
            Duration.ofNanos(Attempt.GRANT_BOUND_NANOS).plusSeconds(2);
    private static ClaimFleet fleet;

    private final Caller caller = fleet.caller();
    private final BookingOutcomes outcomes = BookingOutcomes.create();

    @BeforeAll
    static void start() {
        fleet = ClaimFleet.start("bookings");
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    @AfterEach
    void checkBookings() {
        fleet.platformFault("{\"outage\":false,\"lose-answers-after-write\":false,\"slow\":0}");
        fleet.serviceFault("{\"slow\":1}");
        outcomes.assertConsistent(fleet.runsByKey(), fleet.requestsRun());
    }

    @Test
    void sameKeyAtSeveralRoutersRunsOnceAndIsReplayedByAll() {
        List<String> keys = BookingOutcomes.keys("at-once", KEYS);
        keys.forEach(key -> outcomes.awaitAll(
                fleet.routers().stream().map(router -> caller.book(router, key)).toList()));
        for (String key : keys) {
            List<CallerResponse> again = outcomes.awaitAll(fleet.routers().stream()
                    .map(router -> caller.book(router, key))
                    .toList());
            assertThat(again.stream().map(CallerResponse::isBooked).toList(), everyItem(is(true)));
            assertThat(again.stream().map(CallerResponse::booking).distinct().count(), equalTo(1L));
            assertThat(fleet.runsByKey().get(key), equalTo(1));
        }
    }

    @Test
    void bookingsOfAKilledHolderAreReportedAsUnknown() {
        FleetNode victim = fleet.routers().get(0);
        List<String> keys = BookingOutcomes.keys("killed", KEYS);
        fleet.serviceFault("{\"slow\":400}");
        List<CompletableFuture<CallerResponse>> interrupted =
                keys.stream().map(key -> caller.book(victim, key)).toList();
        Await.until("every booking runs", () -> fleet.runsByKey().keySet().containsAll(keys));
        victim.process().kill();
        outcomes.awaitAll(interrupted);
        for (String key : keys) {
            for (FleetNode router : fleet.routers().subList(1, 4)) {
                assertThat(
                        outcomes.await(caller.book(router, key)).code(), equalTo(ResultCode.OUTCOME_UNKNOWN.number()));
            }
        }
        victim.process().restart();
        fleet.awaitReady();
        for (String key : keys) {
            assertThat(outcomes.await(caller.book(victim, key)).code(), equalTo(ResultCode.OUTCOME_UNKNOWN.number()));
        }
    }

    @Test
    void pausedHolderDoesNotResendBookingsOfItsSuccessor() {
        FleetNode paused = fleet.routers().get(1);
        List<String> keys = BookingOutcomes.keys("paused", KEYS);
        fleet.platformFault("{\"slow\":300}");
        List<CompletableFuture<CallerResponse>> started =
                keys.stream().map(key -> caller.book(paused, key)).toList();
        Await.elapsed(Duration.ofMillis(400));
        paused.process().pause();
        fleet.platformFault("{\"slow\":0}");
        FleetNode other = fleet.routers().get(2);
        outcomes.awaitAll(keys.stream().map(key -> caller.book(other, key)).toList());
        Await.elapsed(LONGER_THAN_ANY_GRANT);
        outcomes.awaitAll(keys.stream().map(key -> caller.book(other, key)).toList());
        paused.process().resume();
        outcomes.awaitAll(started);
        fleet.awaitReady();
        outcomes.awaitAll(keys.stream().map(key -> caller.book(other, key)).toList());
    }

    @Test
    void platformOutageRejectsBookingsWithoutRunningThemAndKeepsKeysUsable() {
        List<String> keys = BookingOutcomes.keys("outage", KEYS);
        String finished = "finished-before-the-outage";
        assertThat(outcomes.await(caller.book(fleet.routers().get(0), finished)).isBooked(), is(true));
        fleet.platformFault("{\"outage\":true}");
        for (String key : keys) {
            CallerResponse rejected = outcomes.await(caller.book(fleet.routers().get(3), key));
            assertThat(rejected.code(), equalTo(ResultCode.CLAIM_UNAVAILABLE.number()));
        }
        CallerResponse replayed = outcomes.await(caller.book(fleet.routers().get(0), finished));
        assertThat(replayed.toString(), replayed.isBooked(), is(true));
        fleet.platformFault("{\"outage\":false}");
        for (String key : keys) {
            Await.until(
                    key + " is booked",
                    () -> outcomes.await(caller.book(fleet.routers().get(0), key))
                            .isBooked());
        }
    }

    @Test
    void lostPlatformResponsesDoNotDuplicateBookings() {
        List<String> keys = BookingOutcomes.keys("lost-answers", KEYS);
        fleet.platformFault("{\"lose-answers-after-write\":true}");
        for (String key : keys) {
            outcomes.awaitAll(fleet.routers().stream()
                    .map(router -> caller.book(router, key))
                    .toList());
        }
        fleet.platformFault("{\"lose-answers-after-write\":false}");
        for (String key : keys) {
            Await.until(key + " has an outcome", () -> {
                CallerResponse response =
                        outcomes.await(caller.book(fleet.routers().get(2), key));
                return response.isBooked() || response.code() == ResultCode.OUTCOME_UNKNOWN.number();
            });
        }
        assertThat(fleet.runsByKey().keySet().stream().filter(keys::contains).toList(), not(empty()));
    }
}
