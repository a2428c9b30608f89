package org.baobabcart.router.bill;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.helpers.test.UniAssertSubscriber;
import java.time.Duration;
import java.util.List;
import org.baobabcart.model.request.Bill;
import org.baobabcart.policy.bill.BillBuffer;
import org.baobabcart.router.bill.BillService.BillHolder;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.member.Member;
import org.baobabcart.router.member.Members;
import org.baobabcart.router.testing.InMemoryObjectStore;
import org.baobabcart.router.testing.LoopbackPeers;
import org.baobabcart.router.testing.ManualTimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PeerBillServiceTest {
    private static final Member FIRST = member("first", "a");
    private static final Member SECOND = member("second", "b");
    private static final Duration UNTIL_COMMITTED =
            Duration.ofNanos(BillBuffer.MAX_COMMIT_DELAY_NANOS).plusMillis(600);

    private final ManualTimerService timers = ManualTimerService.create();
    private final InMemoryObjectStore store = InMemoryObjectStore.create();
    private final LoopbackPeers peers = new LoopbackPeers();
    private PeerBillService first;
    private PeerBillService second;

    @BeforeEach
    void start() {
        first = start(FIRST, SECOND);
        second = start(SECOND, FIRST);
    }

    @Test
    void peerHoldsBillsAndCommitsThemTogether() {
        for (int index = 0; index < 50; index++) {
            assertThat(hold(first, "r" + index), equalTo(BillHolder.PEER));
        }
        timers.advance(UNTIL_COMMITTED);
        assertThat(committedRequestIds().size(), equalTo(50));
        assertThat(store.writes(), equalTo(1));
    }

    @Test
    void billSurvivesLossOfItsOrigin() {
        hold(first, "r1");
        peers.setDown(FIRST.peerAddress(), true);
        timers.advance(UNTIL_COMMITTED);
        assertThat(committedRequestIds(), containsInAnyOrder("r1"));
    }

    @Test
    void billSurvivesLossOfItsHolder() {
        peers.serveBills(SECOND.peerAddress(), start(member("forgetful", "b"), FIRST));
        hold(first, "r1");
        peers.setDown(SECOND.peerAddress(), true);
        store.setOutage(true);
        timers.advance(UNTIL_COMMITTED);
        peers.serveBills(SECOND.peerAddress(), second);
        peers.setDown(SECOND.peerAddress(), false);
        store.setOutage(false);
        timers.advance(Duration.ofNanos(BillBuffer.REOFFER_NANOS).plus(UNTIL_COMMITTED));
        assertThat(committedRequestIds(), containsInAnyOrder("r1"));
    }

    @Test
    void billIsCommittedImmediatelyWithoutPeer() {
        peers.setDown(SECOND.peerAddress(), true);
        assertThat(hold(first, "r1"), equalTo(BillHolder.PLATFORM));
        assertThat(committedRequestIds(), containsInAnyOrder("r1"));
    }

    @Test
    void furtherBillsAreCommittedWithinTwoTicksWithoutPeer() {
        peers.setDown(SECOND.peerAddress(), true);
        hold(first, "r1");
        for (int index = 2; index <= 20; index++) {
            UniAssertSubscriber<BillHolder> waiting = startHold(first, "r" + index);
            timers.advance(BillSettings.defaults().tickPeriod().multipliedBy(2));
            assertThat(waiting.awaitItem().getItem(), equalTo(BillHolder.PLATFORM));
        }
        assertThat(committedRequestIds().size(), equalTo(20));
    }

    @Test
    void outageWithoutPeerLosesNoBillAndDelaysOnlyFirstRequest() {
        peers.setDown(SECOND.peerAddress(), true);
        store.setOutage(true);
        UniAssertSubscriber<BillHolder> waiting = startHold(first, "r1");
        timers.advance(Duration.ofSeconds(2));
        assertThat(waiting.awaitItem().getItem(), equalTo(BillHolder.NOBODY));
        assertThat(hold(first, "r2"), equalTo(BillHolder.NOBODY));
        timers.advance(Duration.ofMinutes(1));
        assertThat(store.writes(), equalTo(0));
        store.setOutage(false);
        timers.advance(UNTIL_COMMITTED);
        assertThat(committedRequestIds(), containsInAnyOrder("r1", "r2"));
    }

    @Test
    void lostCommitAnswerBillsOnce() {
        store.loseNextResponse();
        hold(first, "r1");
        timers.advance(UNTIL_COMMITTED);
        timers.advance(UNTIL_COMMITTED);
        assertThat(committedRequestIds(), containsInAnyOrder("r1"));
        assertThat(store.list("bills").await().indefinitely().size(), equalTo(1));
    }

    @Test
    void plannedStopCommitsHeldBills() {
        hold(first, "r1");
        UniAssertSubscriber<Void> stopped = second.stop().subscribe().withSubscriber(UniAssertSubscriber.create());
        timers.advance(Duration.ofMillis(100));
        stopped.awaitItem();
        assertThat(committedRequestIds(), containsInAnyOrder("r1"));
    }

    @Test
    void plannedStopDuringOutageHandsOverHeldBills() {
        hold(first, "r1");
        store.setOutage(true);
        UniAssertSubscriber<Void> stopped = second.stop().subscribe().withSubscriber(UniAssertSubscriber.create());
        timers.advance(Duration.ofSeconds(1));
        stopped.awaitItem();
        peers.setDown(SECOND.peerAddress(), true);
        store.setOutage(false);
        timers.advance(UNTIL_COMMITTED);
        assertThat(committedRequestIds(), containsInAnyOrder("r1"));
        assertThat(store.writes(), lessThanOrEqualTo(2));
    }

    private List<String> committedRequestIds() {
        return BillReader.create(store).ledger().await().indefinitely().bills().stream()
                .map(Bill::requestId)
                .toList();
    }

    private PeerBillService start(Member self, Member other) {
        Blackboard blackboard = Blackboard.create();
        blackboard.write(Sections.MEMBERS, new Members(self, List.of(other)));
        PeerBillService service = PeerBillService.create(
                blackboard,
                timers,
                store,
                peers,
                (type, requestId, detail) -> {},
                new MetricRegistry(),
                BillSettings.defaults());
        peers.serveBills(self.peerAddress(), service);
        service.start();
        return service;
    }

    private static UniAssertSubscriber<BillHolder> startHold(PeerBillService service, String requestId) {
        return service.hold(new Bill(requestId, "w", "m", "v", 3))
                .subscribe()
                .withSubscriber(UniAssertSubscriber.create());
    }

    private static BillHolder hold(PeerBillService service, String requestId) {
        return startHold(service, requestId).awaitItem().getItem();
    }

    private static Member member(String nodeId, String dataCentre) {
        return new Member(nodeId, 1, Member.State.ALIVE, dataCentre, nodeId + ":1", nodeId + ":2");
    }
}
