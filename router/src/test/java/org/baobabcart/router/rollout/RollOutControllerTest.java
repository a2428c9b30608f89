package org.baobabcart.router.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import org.baobabcart.model.platform.Kinds;
import org.baobabcart.model.rollout.RollOutProgress;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.rollout.RollOutStatus;
import org.baobabcart.model.sheet.WhenControllerLost;
import org.baobabcart.model.sheet.Withdrawal;
import org.junit.jupiter.api.Test;

class RollOutControllerTest {
    private static final int SETTLED_SECONDS = 7;
    private static final int CUT_SECONDS = 60;

    private RollOutFleet fleet;

    @Test
    void oneRouterBeginsAndAdvancesByTheEvidenceOfAll() {
        begin(WhenControllerLost.REST, "router-1", "router-2", "router-3");
        assertThat(fleet.store.writes(Kinds.ROLL_OUTS), equalTo(1));
        fleet.nodes.values().forEach(node -> node.serveWell(10));
        fleet.seconds(15);
        assertThat(fleet.storedProgress().stage(), equalTo(1));
        fleet.nodes.values().forEach(node -> node.serveWell(10));
        fleet.seconds(15);
        assertThat(fleet.storedProgress().status(), equalTo(RollOutStatus.DONE));
        assertThat(fleet.store.writes(Kinds.ROLL_OUTS), equalTo(3));
        fleet.nodes.values().forEach(node -> assertThat(node.progress().status(), equalTo(RollOutStatus.DONE)));
    }

    @Test
    void evidenceDeliveredAgainAndAgainCountsOnce() {
        begin(WhenControllerLost.REST, "router-1", "router-2");
        fleet.nodes.values().forEach(node -> node.serveWell(9));
        fleet.seconds(60);
        assertThat(fleet.storedProgress().stage(), equalTo(0));
    }

    @Test
    void aBadVersionLeavesEveryRouterWhileThePlatformIsAwayAndIsWrittenAfterwards() {
        begin(WhenControllerLost.REST, "router-1", "router-2");
        fleet.nodes.values().forEach(node -> node.serveWell(50));
        fleet.seconds(2);
        fleet.store.setOutage(true);
        fleet.nodes.values().forEach(node -> node.serve(RollOutFleet.NEW, 15, true, 0.1));
        fleet.seconds(2);
        fleet.nodes.values().forEach(node -> assertThat(node.withdrawn(), is(true)));
        fleet.store.setOutage(false);
        fleet.seconds(2);
        assertThat(fleet.storedProgress().status(), equalTo(RollOutStatus.STOPPED));
        assertThat(fleet.stored().orElseThrow().isWithdrawn(RollOutFleet.MODEL, RollOutFleet.NEW), is(true));
    }

    @Test
    void aSlowVersionIsStoppedByTheTimesThatAllRoutersTook() {
        begin(WhenControllerLost.REST, "router-1", "router-2", "router-3");
        fleet.nodes.values().forEach(node -> node.serveUnrated(RollOutFleet.OLD, 90, 0.1));
        fleet.nodes.values().forEach(node -> node.serveUnrated(RollOutFleet.NEW, 10, 0.1));
        fleet.seconds(2);
        fleet.nodes.values().forEach(node -> node.serveUnrated(RollOutFleet.NEW, 20, 0.6));
        fleet.timers.advance(Duration.ofSeconds(2));
        fleet.nodes.values().forEach(node -> assertThat("by its own times", node.withdrawn(), is(false)));
        fleet.seconds(2);
        fleet.nodes.values().forEach(node -> assertThat(node.withdrawn(), is(true)));
        assertThat(fleet.storedProgress().status(), equalTo(RollOutStatus.STOPPED));
    }

    @Test
    void aStopIsWrittenByAnotherRouterIfTheControllerDoesNot() {
        begin(WhenControllerLost.REST, "router-1", "router-2");
        RollOutFleet.Node other = fleet.other(fleet.inControl());
        other.serveWell(50);
        fleet.timers.advance(Duration.ofSeconds(1));
        other.serve(RollOutFleet.NEW, 30, true, 0.1);
        fleet.timers.advance(Duration.ofSeconds(2));
        assertThat(other.withdrawn(), is(true));
        assertThat(fleet.storedProgress().status(), equalTo(RollOutStatus.RUNNING));
        fleet.timers.advance(Duration.ofSeconds(6));
        assertThat(fleet.storedProgress().status(), equalTo(RollOutStatus.STOPPED));
    }

    @Test
    void aLostAnswerAdvancesNoStageTwice() {
        begin(WhenControllerLost.REST, "router-1", "router-2");
        fleet.nodes.values().forEach(node -> node.serveWell(20));
        fleet.seconds(4);
        fleet.store.loseNextAnswer(Kinds.ROLL_OUTS);
        fleet.seconds(30);
        assertThat(fleet.storedProgress().stage(), equalTo(1));
        assertThat(fleet.storedProgress().epoch(), equalTo(1L));
    }

    @Test
    void aRollOutRestsOrGoesOnWhenItsControllerIsKilled() {
        begin(WhenControllerLost.REST, "router-1", "router-2", "router-3");
        killInControl();
        assertThat(fleet.storedProgress().status(), equalTo(RollOutStatus.PAUSED));
        begin(WhenControllerLost.CONTINUE, "router-1", "router-2", "router-3");
        killInControl();
        fleet.nodes.values().forEach(node -> node.serveWell(20));
        fleet.seconds(20);
        assertThat(fleet.storedProgress().stage(), equalTo(1));
    }

    @Test
    void aPlannedStopHandsOverSoThatTheRollOutGoesOn() {
        begin(WhenControllerLost.REST, "router-1", "router-2", "router-3");
        RollOutFleet.Node stopping = fleet.inControl();
        stopping.controller().stop().await().indefinitely();
        fleet.nodes.remove(stopping.name());
        fleet.membersChanged();
        fleet.seconds(SETTLED_SECONDS);
        assertThat(fleet.storedProgress().status(), equalTo(RollOutStatus.RUNNING));
        assertThat(fleet.inControl(), is(fleet.nodes.get(fleet.inControl().name())));
    }

    @Test
    void aRouterThatDoesNotKnowItsPeersYetTakesNothingOver() {
        begin(WhenControllerLost.REST, "router-1", "router-2");
        fleet.start("router-3");
        fleet.timers.advance(Duration.ofSeconds(3));
        fleet.membersChanged();
        fleet.seconds(20);
        assertThat(fleet.storedProgress().status(), equalTo(RollOutStatus.RUNNING));
    }

    @Test
    void routersThatLoseSightOfEachOtherLeaveTheControlWhereItIs() {
        begin(WhenControllerLost.REST, "router-1", "router-2", "router-3");
        RollOutProgress before = fleet.storedProgress();
        int leaseWrites = fleet.store.writes(Kinds.LEASES);
        fleet.cutAllApart();
        fleet.timers.advance(Duration.ofSeconds(CUT_SECONDS));
        assertThat(fleet.storedProgress(), equalTo(before));
        assertThat(fleet.store.writes(Kinds.LEASES) - leaseWrites, lessThanOrEqualTo(CUT_SECONDS + 1));
        fleet.membersChanged();
        fleet.seconds(SETTLED_SECONDS);
        assertThat(fleet.storedProgress(), equalTo(before));
    }

    @Test
    void aRouterOnTheOtherSideTakesTheControlOverOnceItsHolderIsGone() {
        begin(WhenControllerLost.CONTINUE, "router-1", "router-2");
        RollOutFleet.Node gone = fleet.inControl();
        fleet.cutAllApart();
        fleet.kill(gone);
        fleet.seconds(SETTLED_SECONDS + 3);
        assertThat(fleet.inControl(), is(not(gone)));
    }

    @Test
    void anOperatorWhoResumesBeginsTheEvidenceAnew() {
        begin(WhenControllerLost.REST, "router-1", "router-2");
        fleet.nodes.values().forEach(node -> node.serveWell(50));
        fleet.seconds(2);
        fleet.nodes.values().forEach(node -> node.serve(RollOutFleet.NEW, 15, true, 0.1));
        fleet.seconds(3);
        RollOutProgress stopped = fleet.storedProgress();
        assertThat(stopped.status(), equalTo(RollOutStatus.STOPPED));
        RollOutState resumed = fleet.stored()
                .orElseThrow()
                .withProgress(stopped.withStatus(RollOutStatus.RUNNING, "by an operator"), "operator")
                .withoutWithdrawal(new Withdrawal(RollOutFleet.MODEL, RollOutFleet.NEW), "operator");
        fleet.write(resumed);
        fleet.seconds(20);
        assertThat(fleet.storedProgress().status(), equalTo(RollOutStatus.RUNNING));
        fleet.nodes.values().forEach(node -> assertThat(node.withdrawn(), is(false)));
    }

    private void begin(WhenControllerLost whenControllerLost, String... names) {
        fleet = new RollOutFleet(whenControllerLost, names);
        fleet.seconds(SETTLED_SECONDS);
        assertThat(fleet.storedProgress().status(), equalTo(RollOutStatus.RUNNING));
    }

    private void killInControl() {
        fleet.kill(fleet.inControl());
        fleet.seconds(SETTLED_SECONDS + 3);
    }
}
