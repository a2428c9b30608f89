package org.baobabcart.router.crash;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.crash.CrashEvidence;
import org.baobabcart.policy.crash.CrashReport;
import org.baobabcart.policy.crash.CrashSeverity;
import org.baobabcart.policy.crash.CrashVerdict;
import org.baobabcart.policy.crash.RequestFingerprint;
import org.baobabcart.router.testing.ManualTimerService;
import org.baobabcart.wire.Exchange;
import org.junit.jupiter.api.Test;

/** Ledgers of several routers that exchange reports. */
class CrashLedgerTest {
    private static final RequestFingerprint BAD = new RequestFingerprint("bad-1", List.of("shared", "bad"));
    private static final RequestFingerprint OTHER_BAD = new RequestFingerprint("bad-2", List.of("shared", "bad"));
    private static final RequestFingerprint SOUND = new RequestFingerprint("sound-1", List.of("shared", "own"));

    private final AtomicLong nanos = new AtomicLong(1);
    private final CrashLedger first = ledger("r1");
    private final CrashLedger second = ledger("r2");

    @Test
    void crashesOfAllRoutersAreSummedPerPart() {
        crash(first, "e1", BAD);
        crash(second, "e2", OTHER_BAD);
        first.receive(second.report(), false);
        settle(first);
        assertThat(first.verdict(OTHER_BAD), is(CrashVerdict.QUARANTINED));
        assertThat(second.verdict(OTHER_BAD), is(CrashVerdict.SUSPECT));
        second.receive(first.report(), false);
        assertThat(
                second.verdict(new RequestFingerprint("bad-3", List.of("shared", "bad"))),
                is(CrashVerdict.QUARANTINED));
    }

    @Test
    void sameReportTwiceCountsOnce() {
        crash(second, "e2", BAD);
        CrashReport report = second.report();
        first.receive(report, false);
        first.receive(report, false);
        settle(first);
        assertThat(first.verdict(BAD), is(CrashVerdict.SUSPECT));
    }

    @Test
    void partAnsweredBeforeIsClearedAndReportedOnce() {
        first.recordAnswered(SOUND.parts());
        crash(second, "e2", SOUND);
        assertThat(second.verdict(new RequestFingerprint("sound-2", SOUND.parts())), is(CrashVerdict.SUSPECT));
        first.receive(second.report(), false);
        assertThat(first.news(), is(CrashLedger.News.COMMON));
        second.receive(first.report(), false);
        assertThat(first.news(), is(CrashLedger.News.NONE));
        assertThat(second.verdict(new RequestFingerprint("sound-2", SOUND.parts())), is(CrashVerdict.CLEAR));
    }

    @Test
    void earlierAnswersDoNotClearAPartThatCrashesUpstreamsAgain() {
        first.recordAnswered(BAD.parts());
        for (int engine = 0; engine < 3; engine++) {
            crash(first, "e" + engine, new RequestFingerprint("bad-" + engine, BAD.parts()));
        }
        settle(first);
        assertThat(first.verdict(new RequestFingerprint("bad-9", BAD.parts())), is(CrashVerdict.QUARANTINED));
    }

    @Test
    void restartedRouterTakesOnlyQuarantinesFromOldReports() {
        quarantine(first);
        crash(first, "e9", SOUND);
        CrashLedger restarted = ledger("r1");
        restarted.receive(first.report(), true);
        assertThat(restarted.verdict(OTHER_BAD), is(CrashVerdict.QUARANTINED));
        assertThat(restarted.verdict(SOUND), is(CrashVerdict.CLEAR));
    }

    @Test
    void quarantinedRequestIsTriedAgainAndAnAnswerEndsTheQuarantineEverywhere() {
        quarantine(first);
        second.receive(first.report(), false);
        assertThat(first.tryBeginTrial(OTHER_BAD), is(false));
        Duration wait = first.timeToTrial(OTHER_BAD).orElseThrow();
        nanos.addAndGet(wait.toNanos());
        assertThat(second.tryBeginTrial(OTHER_BAD), is(false));
        assertThat(first.tryBeginTrial(OTHER_BAD), is(true));
        assertThat(first.tryBeginTrial(OTHER_BAD), is(false));
        first.recordAnswered(OTHER_BAD);
        second.receive(first.report(), false);
        assertThat(first.verdict(OTHER_BAD), is(CrashVerdict.CLEAR));
        assertThat(second.verdict(OTHER_BAD), is(CrashVerdict.CLEAR));
    }

    @Test
    void partThatCrashesUpstreamsAgainAfterItsQuarantineEndedIsQuarantinedAgainEverywhere() {
        quarantine(first);
        second.receive(first.report(), false);
        first.recordAnswered(OTHER_BAD);
        second.receive(first.report(), false);
        nanos.addAndGet(Duration.ofMinutes(2).toNanos());
        first.review();
        for (int engine = 5; engine < 9; engine++) {
            crash(first, "e" + engine, new RequestFingerprint("again-" + engine, BAD.parts()));
        }
        settle(first);
        assertThat(first.verdict(OTHER_BAD), is(CrashVerdict.QUARANTINED));
        second.receive(first.report(), false);
        assertThat(second.verdict(OTHER_BAD), is(CrashVerdict.QUARANTINED));
        first.receive(second.report(), false);
        assertThat(first.verdict(OTHER_BAD), is(CrashVerdict.QUARANTINED));
    }

    @Test
    void restartedRouterKeepsReportingItsQuarantines() {
        quarantine(first);
        CrashLedger restarted = ledger("r1");
        restarted.receive(first.report(), true);
        crash(restarted, "e9", SOUND);
        CrashLedger later = ledger("r3");
        later.receive(restarted.report(), true);
        assertThat(later.verdict(OTHER_BAD), is(CrashVerdict.QUARANTINED));
    }

    @Test
    void routersOwnReportDoesNotClearALaterCrash() {
        first.recordAnswered(SOUND);
        crash(first, "e1", SOUND);
        CrashReport report = first.report();
        crash(first, "e2", SOUND);
        first.receive(report, false);
        assertThat(first.verdict(new RequestFingerprint("sound-2", SOUND.parts())), is(CrashVerdict.SUSPECT));
    }

    @Test
    void trialThatCrashesAnUpstreamPutsOffTheTrialsOfAllRouters() {
        quarantine(first);
        second.receive(first.report(), false);
        Duration shared = second.timeToTrial(OTHER_BAD).orElseThrow();
        Duration wait = first.timeToTrial(OTHER_BAD).orElseThrow();
        nanos.addAndGet(wait.toNanos());
        first.tryBeginTrial(OTHER_BAD);
        crash(first, "e7", OTHER_BAD);
        second.receive(first.report(), false);
        assertThat(shared.minus(wait), lessThan(second.timeToTrial(OTHER_BAD).orElseThrow()));
        assertThat(wait.multipliedBy(5), lessThan(first.timeToTrial(OTHER_BAD).orElseThrow()));
    }

    @Test
    void reportsAreTheSameAfterStoringAndAfterAnExchangeWithAPeer() {
        quarantine(first);
        first.recordAnswered(SOUND);
        CrashReport report = first.report();
        assertThat(CrashReportJson.read("r1", CrashReportJson.write(report)), equalTo(report));
        Exchange exchange = new Exchange().setCrashes(new ArrayList<>());
        PeerCrashReports.create(first, ManualTimerService.create(), () -> {}).contribute(exchange);
        PeerCrashReports.create(second, ManualTimerService.create(), () -> {}).received(exchange, "peer");
        assertThat(second.verdict(OTHER_BAD), is(CrashVerdict.QUARANTINED));
    }

    @Test
    void invalidStoredReportSaysNothing() {
        CrashReport report = CrashReportJson.read("r1", JsonNodeFactory.instance.textNode("no report"));
        assertThat(report, equalTo(CrashReport.empty("r1")));
        first.receive(report, false);
        assertThat(first.evidence().accusedKeys(), is(empty()));
    }

    /** Routers that learn of each other's crashes in any order bound the crashes of one request, and agree in the end. */
    @Property(tries = 300, seed = "7602")
    void crashesOfOneRequestAreBoundedOverTheFleet(
            @ForAll @IntRange(min = 1, max = 6) int routers, @ForAll List<@IntRange(max = 35) Integer> steps) {
        List<CrashLedger> ledgers = IntStream.range(0, routers)
                .mapToObj(index -> ledger("fleet-" + index))
                .toList();
        RequestFingerprint request = RequestFingerprint.of("crashing");
        int crashes = 0;
        for (int step : steps) {
            CrashLedger ledger = ledgers.get(step % routers);
            if (step >= 18) {
                ledgers.get(step / 6 % routers).receiveFromPeer(ledger.report());
            } else if (ledger.verdict(request) != CrashVerdict.QUARANTINED) {
                crash(ledger, "engine-" + crashes++, request);
                settle(ledger);
            }
        }
        int perRouter = CrashEvidence.QUARANTINE_WEIGHT / CrashSeverity.LOST_UPSTREAM.weight();
        assertThat(crashes, lessThanOrEqualTo(perRouter * routers));
        for (CrashLedger ledger : ledgers) {
            ledgers.forEach(other -> ledger.receiveFromPeer(other.report()));
            settle(ledger);
            assertThat(ledger.verdict(request) == CrashVerdict.QUARANTINED, is(crashes >= perRouter));
        }
    }

    private void quarantine(CrashLedger ledger) {
        crash(ledger, "e1", BAD);
        crash(ledger, "e2", OTHER_BAD);
        settle(ledger);
    }

    private void crash(CrashLedger ledger, String engine, RequestFingerprint request) {
        nanos.addAndGet(Duration.ofSeconds(1).toNanos());
        ledger.recordCrash(engine(engine), CrashSeverity.LOST_UPSTREAM, request);
    }

    private void settle(CrashLedger ledger) {
        nanos.addAndGet(Duration.ofSeconds(1).toNanos());
        ledger.review();
    }

    private CrashLedger ledger(String name) {
        return CrashLedger.create(name, 0, nanos::get, (type, request, fields) -> {});
    }

    private static VirtualMachine engine(String name) {
        return new VirtualMachine(
                        name,
                        VirtualMachine.Role.ENGINE,
                        "one",
                        VirtualMachine.State.LIVE,
                        "http://127.0.0.1:1",
                        "",
                        "v1",
                        "desk")
                .withCapacity(4, 7);
    }
}
