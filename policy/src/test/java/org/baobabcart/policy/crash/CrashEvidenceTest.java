package org.baobabcart.policy.crash;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class CrashEvidenceTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final RequestFingerprint BAD = new RequestFingerprint("bad-1", List.of("shared", "bad"));
    private static final RequestFingerprint OTHER_BAD = new RequestFingerprint("bad-2", List.of("shared", "bad"));
    private static final RequestFingerprint SOUND = new RequestFingerprint("sound-1", List.of("shared", "own"));

    private CrashEvidence evidence = CrashEvidence.none();

    @Test
    void requestAtOneCrashIsSuspectUntilItsAnswerBegins() {
        crash("e1", 1, BAD, SOUND);
        assertThat(evidence.verdict(BAD), is(CrashVerdict.SUSPECT));
        assertThat(evidence.verdict(SOUND), is(CrashVerdict.SUSPECT));
        evidence = evidence.withBegun(SOUND.keys(), 2 * SECOND);
        assertThat(evidence.verdict(SOUND), is(CrashVerdict.CLEAR));
        assertThat(evidence.verdict(BAD), is(CrashVerdict.SUSPECT));
    }

    @Test
    void requestAtTwoCrashesIsQuarantinedWithAllKeysThatItCannotBeToldApartFrom() {
        crash("e1", 1, BAD, SOUND);
        evidence = evidence.withBegun(SOUND.keys(), 2 * SECOND);
        crash("e2", 3, BAD);
        assertThat(evidence.conclusions(4 * SECOND), contains(new Quarantine(Set.of("bad-1", "bad"))));
    }

    @Test
    void otherRequestsWithThePartNarrowTheQuarantineToIt() {
        crash("e1", 1, BAD);
        crash("e2", 2, OTHER_BAD);
        evidence = evidence.withBegun(SOUND.keys(), 3 * SECOND);
        List<Quarantine> conclusions = evidence.conclusions(4 * SECOND);
        assertThat(conclusions, contains(new Quarantine(Set.of("bad"))));
        evidence = evidence.withQuarantines(conclusions);
        assertThat(evidence.verdict(OTHER_BAD), is(CrashVerdict.QUARANTINED));
        assertThat(evidence.verdict(SOUND), is(CrashVerdict.CLEAR));
    }

    @Test
    void soundRequestAtTheSameCrashesMakesTheExplanationAmbiguous() {
        RequestFingerprint companion = new RequestFingerprint("sound-2", List.of("elsewhere"));
        crash("e1", 1, BAD, companion);
        crash("e2", 2, BAD, companion);
        assertThat(evidence.conclusions(3 * SECOND), is(empty()));
        evidence = evidence.withBegun(companion.keys(), 3 * SECOND);
        assertThat(evidence.conclusions(4 * SECOND), contains(new Quarantine(Set.of("bad-1", "bad", "shared"))));
    }

    @Test
    void nothingIsConcludedBeforeAllReportsOnACrashCanHaveArrived() {
        crash("e1", 1, BAD);
        crash("e2", 2, BAD);
        assertThat(evidence.conclusions(2 * SECOND + 1), is(empty()));
    }

    @Test
    void enginesThatStopTogetherAccuseAPartInWideUseOnlyOnce() {
        for (int engine = 0; engine < 10; engine++) {
            crash("e" + engine, 1, new RequestFingerprint("sound-" + engine, List.of("shared")));
        }
        assertThat(evidence.weight("shared"), is(CrashSeverity.LOST_UPSTREAM.weight()));
        assertThat(evidence.conclusions(2 * SECOND), is(empty()));
    }

    @Test
    void brokenConnectionsToLivingUpstreamsWeighHalf() {
        for (int engine = 0; engine < 3; engine++) {
            evidence = evidence.withObservation(
                    "r1",
                    new CrashObservation("e" + engine, CrashSeverity.BROKEN_CONNECTION, List.of(BAD)),
                    engine * SECOND);
        }
        assertThat(evidence.weight("bad"), is(3));
        assertThat(evidence.conclusions(4 * SECOND), is(empty()));
    }

    @Test
    void soundAnswerNarrowsAQuarantineInForce() {
        crash("e1", 1, BAD);
        crash("e2", 2, BAD);
        evidence = evidence.withQuarantines(List.of(new Quarantine(Set.of("shared", "bad"))));
        evidence = evidence.withBegun(SOUND.keys(), 3 * SECOND);
        assertThat(
                evidence.verdict(new RequestFingerprint("bad-3", List.of("elsewhere", "bad"))),
                is(CrashVerdict.QUARANTINED));
    }

    @Test
    void oldCrashesAreForgottenAndQuarantinesStay() {
        crash("e1", 1, BAD);
        Quarantine quarantine = new Quarantine(Set.of("bad"));
        evidence = evidence.withQuarantines(List.of(quarantine)).withoutBefore(2 * SECOND);
        assertThat(evidence.accusedKeys(), is(empty()));
        assertThat(evidence.quarantines(), contains(quarantine));
    }

    /** Reports may arrive late, twice and in any order. */
    @Property(tries = 500, seed = "7601")
    void orderAndRepetitionOfObservationsOfACrashDoNotMatter(
            @ForAll @Size(max = 20) List<@IntRange(max = 8) Integer> codes, @ForAll long seed) {
        List<Integer> shuffled = new ArrayList<>(codes);
        shuffled.addAll(codes);
        Collections.shuffle(shuffled, new Random(seed));
        assertThat(observed(shuffled), equalTo(observed(codes)));
    }

    private static CrashEvidence observed(List<Integer> codes) {
        CrashEvidence result = CrashEvidence.none();
        for (int code : codes) {
            RequestFingerprint request = RequestFingerprint.of("request-" + code / 3);
            result = result.withObservation(
                    "r" + code % 3, new CrashObservation("e", CrashSeverity.LOST_UPSTREAM, List.of(request)), SECOND);
        }
        return result;
    }

    private void crash(String crash, long second, RequestFingerprint... unanswered) {
        evidence = evidence.withObservation(
                "r1", new CrashObservation(crash, CrashSeverity.LOST_UPSTREAM, List.of(unanswered)), second * SECOND);
    }
}
