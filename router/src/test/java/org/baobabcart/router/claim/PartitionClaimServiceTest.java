package org.baobabcart.router.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.helpers.test.UniAssertSubscriber;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.sheet.Service;
import org.baobabcart.policy.claim.Attempt;
import org.baobabcart.policy.claim.JournaledAnswer;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.member.Member;
import org.baobabcart.router.member.Members;
import org.baobabcart.router.testing.InMemoryObjectStore;
import org.baobabcart.router.testing.LoopbackPeers;
import org.baobabcart.router.testing.ManualTimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PartitionClaimServiceTest {
    private static final Service SERVICE = new Service("orders", List.of(), 86_400);
    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final Duration RETRY_DURATION = Duration.ofSeconds(1);
    private static final Member FIRST = member("first");
    private static final Member SECOND = member("second");

    private final ManualTimerService timers = ManualTimerService.create();
    private final InMemoryObjectStore store = InMemoryObjectStore.create();
    private final LoopbackPeers peers = new LoopbackPeers();
    private PartitionClaimService first;
    private PartitionClaimService second;
    private int attempts;

    @BeforeEach
    void start() {
        first = start(FIRST, SECOND);
        second = start(SECOND, FIRST);
    }

    @ParameterizedTest
    @ValueSource(strings = {"k1", "k2", "k3", "k4", "k5", "k6"})
    void finishedCallIsReplayedByEveryRouter(String key) {
        ClaimCall call = call(key);
        assertThat(claim(first, call).kind(), equalTo(ClaimDecision.Kind.GRANTED));
        assertThat(first.beginDispatch(call.attemptId()), is(true));
        assertThat(first.beginDispatch(call.attemptId()), is(false));
        first.cancelDispatch(call.attemptId());
        assertThat(first.beginDispatch(call.attemptId()), is(true));
        assertThat(refusal(second, call(key)), equalTo(ResultCode.KEY_IN_PROGRESS));
        settle(first, call, ClaimOutcome.finished(reply("cut")));
        for (PartitionClaimService service : List.of(first, second)) {
            StoredReply replayed = claim(service, call(key)).answer().orElseThrow();
            assertThat(replayed.status(), equalTo(201));
            assertThat(new String(replayed.body(), StandardCharsets.UTF_8), equalTo("cut"));
        }
        ClaimCall other = new ClaimCall("w", "orders", key, "other digest", "another");
        assertThat(refusal(second, other), equalTo(ResultCode.KEY_REUSED));
    }

    @Test
    void refusedClaimAndReleaseCostOneWriteWithCachedJournal() {
        claim(first, call("k1"));
        int reads = store.reads();
        int writes = store.writes();
        assertThat(refusal(first, call("k1")), equalTo(ResultCode.KEY_IN_PROGRESS));
        ClaimCall released = call("k1");
        settle(first, released, ClaimOutcome.notRun());
        assertThat(store.writes() - writes, equalTo(1));
        assertThat(store.reads() - reads, lessThanOrEqualTo(1));
    }

    @ParameterizedTest
    @ValueSource(strings = {"k1", "k2", "k3", "k4"})
    void lostAnswerIsResolvedByReadingBack(String key) {
        store.loseNextResponse();
        UniAssertSubscriber<ClaimDecision> decision = startClaim(first, call(key));
        timers.advance(RETRY_DURATION);
        assertThat(decision.awaitItem().getItem().kind(), equalTo(ClaimDecision.Kind.GRANTED));
        assertThat(store.writes(), equalTo(1));
    }

    @Test
    void claimRefusedDuringOutageIsNeverSentAndLeavesKeyFree() {
        store.setOutage(true);
        ClaimCall call = call("k1");
        UniAssertSubscriber<ClaimDecision> decision = startClaim(first, call);
        timers.advance(RETRY_DURATION);
        assertThat(decision.awaitItem().getItem().refusal(), equalTo(Optional.of(ResultCode.CLAIM_UNAVAILABLE)));
        assertThat(first.beginDispatch(call.attemptId()), is(false));
        store.setOutage(false);
        timers.advance(RETRY_DURATION);
        assertThat(claim(second, call("k1")).kind(), equalTo(ClaimDecision.Kind.GRANTED));
    }

    @Test
    void finishedCallIsReplayedDuringOutage() {
        ClaimCall call = call("k1");
        claim(first, call);
        first.beginDispatch(call.attemptId());
        settle(first, call, ClaimOutcome.finished(reply("cut")));
        store.setOutage(true);
        assertThat(claim(second, call("k1")).kind(), equalTo(ClaimDecision.Kind.REPLAY));
    }

    @ParameterizedTest
    @ValueSource(strings = {"k1", "k2", "k3", "k4"})
    void keyOfUnreachableClaimantHasUnknownOutcome(String key) {
        ClaimCall call = call(key);
        claim(first, call);
        first.beginDispatch(call.attemptId());
        peers.setDown(FIRST.peerAddress(), true);
        assertThat(refusal(second, call(key)), equalTo(ResultCode.OUTCOME_UNKNOWN));
    }

    @ParameterizedTest
    @ValueSource(strings = {"k1", "k2", "k3", "k4"})
    void expiredGrantIsNeverSentAndItsKeyIsTakenOver(String key) {
        ClaimCall paused = call(key);
        claim(first, paused);
        timers.advance(Duration.ofNanos(Attempt.GRANT_BOUND_NANOS).plusMillis(1));
        assertThat(first.beginDispatch(paused.attemptId()), is(false));
        assertThat(claim(second, call(key)).kind(), equalTo(ClaimDecision.Kind.GRANTED));
    }

    @ParameterizedTest
    @ValueSource(strings = {"k1", "k2", "k3", "k4"})
    void attemptThatDidNotRunReleasesItsKey(String key) {
        ClaimCall call = call(key);
        claim(first, call);
        first.beginDispatch(call.attemptId());
        settle(first, call, ClaimOutcome.notRun());
        assertThat(claim(second, call(key)).kind(), equalTo(ClaimDecision.Kind.GRANTED));
    }

    @Test
    void plannedStopWaitsUntilOutcomeIsStoredAfterOutage() {
        ClaimCall call = call("k1");
        claim(first, call);
        first.beginDispatch(call.attemptId());
        store.setOutage(true);
        UniAssertSubscriber<Void> settled = first.settle(call, ClaimOutcome.finished(reply("cut")))
                .subscribe()
                .withSubscriber(UniAssertSubscriber.create());
        timers.advance(Duration.ofSeconds(3));
        settled.awaitFailure();
        UniAssertSubscriber<Void> stopped = first.stop().subscribe().withSubscriber(UniAssertSubscriber.create());
        stopped.assertNotTerminated();
        store.setOutage(false);
        timers.advance(Duration.ofSeconds(1));
        stopped.awaitItem();
        assertThat(claim(second, call("k1")).kind(), equalTo(ClaimDecision.Kind.REPLAY));
    }

    @Test
    void largeAnswerIsReplayedWithoutItsBody() {
        ClaimCall call = call("k1");
        claim(first, call);
        first.beginDispatch(call.attemptId());
        settle(first, call, ClaimOutcome.finished(reply("x".repeat(JournaledAnswer.MAX_CHARACTERS))));
        StoredReply replayed = claim(second, call("k1")).answer().orElseThrow();
        assertThat(replayed.status(), equalTo(201));
        assertThat(replayed.body().length, equalTo(0));
        assertThat(replayed.headers().get(ReplyCodec.BODY_OMITTED), equalTo("true"));
    }

    private PartitionClaimService start(Member self, Member other) {
        Blackboard blackboard = Blackboard.create();
        blackboard.write(Sections.MEMBERS, new Members(self, List.of(other)));
        PartitionClaimService service = PartitionClaimService.create(
                blackboard,
                timers,
                store,
                peers,
                (type, requestId, detail) -> {},
                new MetricRegistry(),
                ClaimSettings.defaults());
        peers.serveClaims(self.peerAddress(), service);
        service.start();
        return service;
    }

    private ClaimCall call(String key) {
        return new ClaimCall("w", "orders", key, "digest", "attempt-" + attempts++);
    }

    private static UniAssertSubscriber<ClaimDecision> startClaim(PartitionClaimService service, ClaimCall call) {
        return service.claim(call, SERVICE, TIMEOUT).subscribe().withSubscriber(UniAssertSubscriber.create());
    }

    private static ClaimDecision claim(PartitionClaimService service, ClaimCall call) {
        return startClaim(service, call).awaitItem().getItem();
    }

    private static ResultCode refusal(PartitionClaimService service, ClaimCall call) {
        return claim(service, call).refusal().orElseThrow();
    }

    private static void settle(PartitionClaimService service, ClaimCall call, ClaimOutcome outcome) {
        service.settle(call, outcome)
                .subscribe()
                .withSubscriber(UniAssertSubscriber.create())
                .awaitItem();
    }

    private static StoredReply reply(String body) {
        return new StoredReply(201, Map.of("Content-Type", "text/plain"), body.getBytes(StandardCharsets.UTF_8));
    }

    private static Member member(String nodeId) {
        return new Member(nodeId, 1, Member.State.ALIVE, "a", nodeId + ":1", nodeId + ":2");
    }
}
