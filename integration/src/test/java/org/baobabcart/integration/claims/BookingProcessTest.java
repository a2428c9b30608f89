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

/** Bookings run at most once while routers are killed and paused and the platform fails. */
class BookingProcessTest {
    private static final int KEYS = 12;
    private static final Duration PAST_EVERY_TIMEOUT =
            Duration.ofNanos(Attempt.GRANT_BOUND_NANOS).plusSeconds(2);
    private static ClaimFleet fleet;

    private final Caller caller = fleet.caller();
    private final BookingOutcomes endings = BookingOutcomes.create();

    @BeforeAll
    static void start() {
        fleet = ClaimFleet.start("bookings");
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    @AfterEach
    void noKeyRanTwiceAndNotRunIsTrue() {
        fleet.platformFault("{\"outage\":false,\"lose-answers-after-write\":false,\"slow\":0}");
        fleet.serviceFault("{\"slow\":1}");
        endings.assertHonest(fleet.runsByKey(), fleet.requestsRun());
    }

    @Test
    void theSameKeyAtSeveralRoutersAtOnceRunsOnceAndIsReplayedAtAll() {
        List<String> keys = BookingOutcomes.keys("at-once", KEYS);
        keys.forEach(key -> endings.all(
                fleet.routers().stream().map(router -> caller.book(router, key)).toList()));
        for (String key : keys) {
            List<CallerResponse> again = endings.all(fleet.routers().stream()
                    .map(router -> caller.book(router, key))
                    .toList());
            assertThat(again.stream().map(CallerResponse::booked).toList(), everyItem(is(true)));
            assertThat(again.stream().map(CallerResponse::booking).distinct().count(), equalTo(1L));
            assertThat(fleet.runsByKey().get(key), equalTo(1));
        }
    }

    @Test
    void aKilledHolderLeavesAnHonestUnknown() {
        FleetNode victim = fleet.routers().get(0);
        List<String> keys = BookingOutcomes.keys("killed", KEYS);
        fleet.serviceFault("{\"slow\":400}");
        List<CompletableFuture<CallerResponse>> cut =
                keys.stream().map(key -> caller.book(victim, key)).toList();
        Await.until("every booking runs", () -> fleet.runsByKey().keySet().containsAll(keys));
        victim.process().kill();
        endings.all(cut);
        for (String key : keys) {
            for (FleetNode router : fleet.routers().subList(1, 4)) {
                assertThat(endings.one(caller.book(router, key)).code(), equalTo(ResultCode.OUTCOME_UNKNOWN.number()));
            }
        }
        victim.process().restart();
        fleet.awaitWhole();
        for (String key : keys) {
            assertThat(endings.one(caller.book(victim, key)).code(), equalTo(ResultCode.OUTCOME_UNKNOWN.number()));
        }
    }

    @Test
    void aPausedHolderNeverSendsWhatAnotherMayHaveSent() {
        FleetNode paused = fleet.routers().get(1);
        List<String> keys = BookingOutcomes.keys("paused", KEYS);
        fleet.platformFault("{\"slow\":300}");
        List<CompletableFuture<CallerResponse>> begun =
                keys.stream().map(key -> caller.book(paused, key)).toList();
        Await.lasting(Duration.ofMillis(400));
        paused.process().pause();
        fleet.platformFault("{\"slow\":0}");
        FleetNode other = fleet.routers().get(2);
        endings.all(keys.stream().map(key -> caller.book(other, key)).toList());
        Await.lasting(PAST_EVERY_TIMEOUT);
        endings.all(keys.stream().map(key -> caller.book(other, key)).toList());
        paused.process().resume();
        endings.all(begun);
        fleet.awaitWhole();
        endings.all(keys.stream().map(key -> caller.book(other, key)).toList());
    }

    @Test
    void anOutageOfThePlatformRefusesTrulyAndLeavesTheKeysFree() {
        List<String> keys = BookingOutcomes.keys("outage", KEYS);
        String finished = "finished-before-the-outage";
        assertThat(endings.one(caller.book(fleet.routers().get(0), finished)).booked(), is(true));
        fleet.platformFault("{\"outage\":true}");
        for (String key : keys) {
            CallerResponse refused = endings.one(caller.book(fleet.routers().get(3), key));
            assertThat(refused.code(), equalTo(ResultCode.CLAIM_UNAVAILABLE.number()));
        }
        CallerResponse replayed = endings.one(caller.book(fleet.routers().get(0), finished));
        assertThat(replayed.toString(), replayed.booked(), is(true));
        fleet.platformFault("{\"outage\":false}");
        for (String key : keys) {
            Await.until(
                    key + " is booked",
                    () -> endings.one(caller.book(fleet.routers().get(0), key)).booked());
        }
    }

    @Test
    void lostAnswersOfThePlatformDoubleNothing() {
        List<String> keys = BookingOutcomes.keys("lost-answers", KEYS);
        fleet.platformFault("{\"lose-answers-after-write\":true}");
        for (String key : keys) {
            endings.all(fleet.routers().stream()
                    .map(router -> caller.book(router, key))
                    .toList());
        }
        fleet.platformFault("{\"lose-answers-after-write\":false}");
        for (String key : keys) {
            Await.until(key + " has an outcome", () -> {
                CallerResponse ending = endings.one(caller.book(fleet.routers().get(2), key));
                return ending.booked() || ending.code() == ResultCode.OUTCOME_UNKNOWN.number();
            });
        }
        assertThat(fleet.runsByKey().keySet().stream().filter(keys::contains).toList(), not(empty()));
    }
}
