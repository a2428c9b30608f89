package org.baobabcart.router.exchange;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A large body that stops short of its end fills the budget while another waits. */
class BodyBudgetTest {
    private static final long LIMIT = 1_000_000;
    private static final long LARGE = 600_000;

    private final Vertx vertx = Vertx.vertx();
    private final CountDownLatch turnedAway = new CountDownLatch(1);

    @AfterEach
    void closeVertx() {
        vertx.close();
    }

    private BodyBudget.Reservation begin(BodyBudget budget) {
        BodyBudget.Reservation reservation =
                budget.reserve(0, "first", LARGE, true).granted().result();
        reservation.startArriving(turnedAway::countDown);
        return reservation;
    }

    @Test
    void stalledBodyGivesWayToTheNext() throws Exception {
        BodyBudget budget = BodyBudget.create(vertx, LIMIT, Duration.ZERO);
        BodyBudget.Reservation stalled = begin(budget);
        BodyBudget.Pending next = budget.reserve(0, "next", LARGE, true);
        assertThat(turnedAway.await(20, TimeUnit.SECONDS), is(true));
        assertThat(budget.turnedAway(), is(1L));
        stalled.release();
        next.granted().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
        assertThat(budget.usedBytes(), is(LARGE));
    }

    @Test
    void bodyThatArrivesOrIsCompleteKeepsItsPart() {
        BodyBudget patient = BodyBudget.create(vertx, LIMIT, Duration.ofHours(1));
        begin(patient);
        patient.reserve(0, "next", LARGE, true);
        assertThat(patient.turnedAway(), is(0L));
        BodyBudget budget = BodyBudget.create(vertx, LIMIT, Duration.ZERO);
        begin(budget).received();
        budget.reserve(0, "next", LARGE, true);
        assertThat(budget.turnedAway(), is(0L));
    }
}
