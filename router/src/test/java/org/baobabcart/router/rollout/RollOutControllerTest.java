package org.baobabcart.router.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import org.baobabcart.model.platform.ObjectKinds;
import org.baobabcart.model.rollout.RollOutProgress;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.rollout.RollOutStatus;
import org.baobabcart.model.sheet.ControllerLossPolicy;
import org.baobabcart.model.sheet.Withdrawal;
import org.junit.jupiter.api.Test;

class RollOutControllerTest {
    private static final int TAKE_OVER_SECONDS = 7;
    private static final int PARTITION_SECONDS = 60;

    private RollOutFleet fleet;

    @Test
    void controllerAdvancesStagesByPooledEvidence() {
        startRollOut(ControllerLossPolicy.REST, "router-1", "router-2", "router-3");
        assertThat(fleet.store.writes(ObjectKinds.ROLL_OUTS), equalTo(1));
        fleet.nodes.values().forEach(node -> node.recordGoodOutcomes(10));
        fleet.advanceSeconds(15);
        assertThat(fleet.storedProgress().stage(), equalTo(1));
        fleet.nodes.values().forEach(node -> node.recordGoodOutcomes(10));
        fleet.advanceSeconds(15);
        assertThat(fleet.storedProgress().status(), equalTo(RollOutStatus.DONE));
        assertThat(fleet.store.writes(ObjectKinds.ROLL_OUTS), equalTo(3));
        fleet.nodes.values().forEach(node -> assertThat(node.progress().status(), equalTo(RollOutStatus.DONE)));
    }

    @Test
    void repeatedEvidenceIsCountedOnce() {
        startRollOut(ControllerLossPolicy.REST, "router-1", "router-2");
        fleet.nodes.values().forEach(node -> node.recordGoodOutcomes(9));
        fleet.advanceSeconds(60);
        assertThat(fleet.storedProgress().stage(), equalTo(0));
    }

    @Test
    void badVersionIsWithdrawnDuringOutageAndStopIsStoredAfterwards() {
        startRollOut(ControllerLossPolicy.REST, "router-1", "router-2");
        fleet.nodes.values().forEach(node -> node.recordGoodOutcomes(50));
        fleet.advanceSeconds(2);
        fleet.store.setOutage(true);
        fleet.nodes.values().forEach(node -> node.recordOutcomes(RollOutFleet.NEW_VERSION, 15, true, 0.1));
        fleet.advanceSeconds(2);
        fleet.nodes.values().forEach(node -> assertThat(node.isWithdrawn(), is(true)));
        fleet.store.setOutage(false);
        fleet.advanceSeconds(2);
        assertThat(fleet.storedProgress().status(), equalTo(RollOutStatus.STOPPED));
        assertThat(fleet.stored().orElseThrow().isWithdrawn(RollOutFleet.MODEL, RollOutFleet.NEW_VERSION), is(true));
    }

    @Test
    void slowVersionIsStoppedByPooledLatencyEvidence() {
        startRollOut(ControllerLossPolicy.REST, "router-1", "router-2", "router-3");
        fleet.nodes.values().forEach(node -> node.recordUnratedAnswers(RollOutFleet.OLD_VERSION, 90, 0.1));
        fleet.nodes.values().forEach(node -> node.recordUnratedAnswers(RollOutFleet.NEW_VERSION, 10, 0.1));
        fleet.advanceSeconds(2);
        fleet.nodes.values().forEach(node -> node.recordUnratedAnswers(RollOutFleet.NEW_VERSION, 20, 0.6));
        fleet.timers.advance(Duration.ofSeconds(2));
        fleet.nodes.values().forEach(node -> assertThat("by local evidence alone", node.isWithdrawn(), is(false)));
        fleet.advanceSeconds(2);
        fleet.nodes.values().forEach(node -> assertThat(node.isWithdrawn(), is(true)));
        assertThat(fleet.storedProgress().status(), equalTo(RollOutStatus.STOPPED));
    }

    @Test
    void otherRouterWritesStopIfControllerDoesNot() {
        startRollOut(ControllerLossPolicy.REST, "router-1", "router-2");
        RollOutFleet.Node other = fleet.otherNode(fleet.controllerNode());
        other.recordGoodOutcomes(50);
        fleet.timers.advance(Duration.ofSeconds(1));
        other.recordOutcomes(RollOutFleet.NEW_VERSION, 30, true, 0.1);
        fleet.timers.advance(Duration.ofSeconds(2));
        assertThat(other.isWithdrawn(), is(true));
        assertThat(fleet.storedProgress().status(), equalTo(RollOutStatus.RUNNING));
        fleet.timers.advance(Duration.ofSeconds(6));
        assertThat(fleet.storedProgress().status(), equalTo(RollOutStatus.STOPPED));
    }

    @Test
    void lostAnswerDoesNotAdvanceStageTwice() {
        startRollOut(ControllerLossPolicy.REST, "router-1", "router-2");
        fleet.nodes.values().forEach(node -> node.recordGoodOutcomes(20));
        fleet.advanceSeconds(4);
        fleet.store.loseNextResponse(ObjectKinds.ROLL_OUTS);
        fleet.advanceSeconds(30);
        assertThat(fleet.storedProgress().stage(), equalTo(1));
        assertThat(fleet.storedProgress().epoch(), equalTo(1L));
    }

    @Test
    void rollOutPausesOrContinuesWhenControllerIsKilled() {
        startRollOut(ControllerLossPolicy.REST, "router-1", "router-2", "router-3");
        killController();
        assertThat(fleet.storedProgress().status(), equalTo(RollOutStatus.PAUSED));
        startRollOut(ControllerLossPolicy.CONTINUE, "router-1", "router-2", "router-3");
        killController();
        fleet.nodes.values().forEach(node -> node.recordGoodOutcomes(20));
        fleet.advanceSeconds(20);
        assertThat(fleet.storedProgress().stage(), equalTo(1));
    }

    @Test
    void plannedStopHandsOverRunningRollOut() {
        startRollOut(ControllerLossPolicy.REST, "router-1", "router-2", "router-3");
        RollOutFleet.Node stopping = fleet.controllerNode();
        stopping.controller().stop().await().indefinitely();
        fleet.nodes.remove(stopping.name());
        fleet.membersChanged();
        fleet.advanceSeconds(TAKE_OVER_SECONDS);
        assertThat(fleet.storedProgress().status(), equalTo(RollOutStatus.RUNNING));
        assertThat(
                fleet.controllerNode(),
                is(fleet.nodes.get(fleet.controllerNode().name())));
    }

    @Test
    void routerWithoutDiscoveredPeersTakesNothingOver() {
        startRollOut(ControllerLossPolicy.REST, "router-1", "router-2");
        fleet.start("router-3");
        fleet.timers.advance(Duration.ofSeconds(3));
        fleet.membersChanged();
        fleet.advanceSeconds(20);
        assertThat(fleet.storedProgress().status(), equalTo(RollOutStatus.RUNNING));
    }

    @Test
    void partitionedRoutersKeepTheController() {
        startRollOut(ControllerLossPolicy.REST, "router-1", "router-2", "router-3");
        RollOutProgress before = fleet.storedProgress();
        int leaseWrites = fleet.store.writes(ObjectKinds.LEASES);
        fleet.partitionAll();
        fleet.timers.advance(Duration.ofSeconds(PARTITION_SECONDS));
        assertThat(fleet.storedProgress(), equalTo(before));
        assertThat(fleet.store.writes(ObjectKinds.LEASES) - leaseWrites, lessThanOrEqualTo(PARTITION_SECONDS + 1));
        fleet.membersChanged();
        fleet.advanceSeconds(TAKE_OVER_SECONDS);
        assertThat(fleet.storedProgress(), equalTo(before));
    }

    @Test
    void partitionedRouterTakesOverAfterControllerIsKilled() {
        startRollOut(ControllerLossPolicy.CONTINUE, "router-1", "router-2");
        RollOutFleet.Node killed = fleet.controllerNode();
        fleet.partitionAll();
        fleet.kill(killed);
        fleet.advanceSeconds(TAKE_OVER_SECONDS + 3);
        assertThat(fleet.controllerNode(), is(not(killed)));
    }

    @Test
    void resumingResetsTheEvidence() {
        startRollOut(ControllerLossPolicy.REST, "router-1", "router-2");
        fleet.nodes.values().forEach(node -> node.recordGoodOutcomes(50));
        fleet.advanceSeconds(2);
        fleet.nodes.values().forEach(node -> node.recordOutcomes(RollOutFleet.NEW_VERSION, 15, true, 0.1));
        fleet.advanceSeconds(3);
        RollOutProgress stopped = fleet.storedProgress();
        assertThat(stopped.status(), equalTo(RollOutStatus.STOPPED));
        RollOutState resumed = fleet.stored()
                .orElseThrow()
                .withProgress(stopped.withStatus(RollOutStatus.RUNNING, "by an operator"), "operator")
                .withoutWithdrawal(new Withdrawal(RollOutFleet.MODEL, RollOutFleet.NEW_VERSION), "operator");
        fleet.write(resumed);
        fleet.advanceSeconds(20);
        assertThat(fleet.storedProgress().status(), equalTo(RollOutStatus.RUNNING));
        fleet.nodes.values().forEach(node -> assertThat(node.isWithdrawn(), is(false)));
    }

    private void startRollOut(ControllerLossPolicy whenControllerLost, String... names) {
        fleet = new RollOutFleet(whenControllerLost, names);
        fleet.advanceSeconds(TAKE_OVER_SECONDS);
        assertThat(fleet.storedProgress().status(), equalTo(RollOutStatus.RUNNING));
    }

    private void killController() {
        fleet.kill(fleet.controllerNode());
        fleet.advanceSeconds(TAKE_OVER_SECONDS + 3);
    }
}
