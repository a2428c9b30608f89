package org.baobabcart.integration.claims;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.baobabcart.integration.support.Await;
import org.baobabcart.integration.support.Caller;
import org.baobabcart.integration.support.CallerResponse;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.policy.bill.BillLedger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Checks that each finished request has one bill while routers are killed and the platform fails. */
class BillProcessTest {
    private static final int REQUESTS = 20;
    private static final Duration OUTAGE = Duration.ofSeconds(60);
    private static ClaimFleet fleet;

    private static final String MODEL = "layout-small";
    private static final int TOKENS = 4;

    private final Caller caller = fleet.caller();
    private final List<String> finished = new ArrayList<>();

    @BeforeAll
    static void start() {
        fleet = ClaimFleet.start("bills");
    }

    @AfterAll
    static void stop() {
        fleet.close();
    }

    @AfterEach
    void checkBills() {
        assertThat(finished, not(List.of()));
        Await.until("every finished request is billed", this::allBilled);
    }

    @Test
    void routerKilledRightAfterTheLastByte() {
        for (FleetNode victim : List.of(fleet.routers().get(0), fleet.routers().get(3))) {
            serve(victim, "killed-" + victim.name());
            victim.process().kill();
            Await.until("the bills of " + victim.name(), this::allBilled);
            victim.process().restart();
            fleet.awaitReady();
        }
    }

    @Test
    void holderKilledBeforeCommit() {
        fleet.platformFault("{\"outage\":true}");
        fleet.routers().forEach(router -> chat(router, "before"));
        FleetNode victim = fleet.routers().get(1);
        victim.process().kill();
        fleet.platformFault("{\"outage\":false}");
        Await.until("bills survive one router", this::allBilled);
        victim.process().restart();
        fleet.awaitReady();
    }

    @Test
    void platformOutageOfOneMinute() {
        fleet.platformFault("{\"outage\":true}");
        long begin = System.nanoTime();
        while (System.nanoTime() - begin < OUTAGE.toNanos()) {
            fleet.routers().forEach(router -> chat(router, "during the outage"));
            Await.elapsed(Duration.ofSeconds(2));
        }
        fleet.platformFault("{\"outage\":false}");
    }

    @Test
    void lostPlatformResponses() {
        fleet.platformFault("{\"lose-answers-after-write\":true}");
        fleet.routers().forEach(router -> chat(router, "lost answers"));
        Await.elapsed(Duration.ofSeconds(3));
        fleet.platformFault("{\"lose-answers-after-write\":false}");
    }

    @Test
    void plannedStopCommitsAllBills() {
        FleetNode leaving = fleet.routers().get(2);
        serve(leaving, "planned-stop");
        assertThat(leaving.process().terminate(Duration.ofSeconds(60)), is(0));
        Await.until("the bills of a planned stop", this::allBilled);
        leaving.process().restart();
        fleet.awaitReady();
    }

    private void serve(FleetNode router, String name) {
        List<CompletableFuture<CallerResponse>> calls = new ArrayList<>();
        IntStream.range(0, REQUESTS).forEach(index -> {
            calls.add(caller.chat(router, MODEL, name + " " + index, TOKENS));
            calls.add(caller.book(router, name + "-" + index));
        });
        calls.forEach(this::finish);
    }

    private void chat(FleetNode router, String prompt) {
        finish(caller.chat(router, MODEL, prompt, TOKENS));
    }

    private void finish(CompletableFuture<CallerResponse> call) {
        CallerResponse response = call.join();
        assertThat(response.toString(), response.status() / 100, is(2));
        finished.add(response.requestId());
    }

    private boolean allBilled() {
        BillLedger ledger = fleet.ledger();
        return finished.stream().allMatch(requestId -> ledger.bill(requestId).isPresent());
    }
}
