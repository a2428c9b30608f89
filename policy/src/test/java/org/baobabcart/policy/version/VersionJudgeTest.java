package org.baobabcart.policy.version;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class VersionJudgeTest {
    private static final String TARGET = "v2";
    private static final VersionOutcomeKey OLD = new VersionOutcomeKey("model", "v1", "chat");
    private static final VersionOutcomeKey NEW = new VersionOutcomeKey("model", TARGET, "chat");
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MEDIAN_MILLIS = 100;
    private static final double SPREAD = 0.7;

    private final VersionOutcomeRecorder evidence = VersionOutcomeRecorder.create();

    /** Its fast answers alone are like those of the others. */
    @Test
    void aVersionWhoseSlowAnswersAreStillUnderWayIsBad() {
        Random random = new Random(5311);
        usual(random, 300);
        for (int index = 0; index < 30; index++) {
            answer(evidence, NEW, millis(random));
            evidence.recordSent(NEW, 0);
        }
        assertThat(judge(900).verdict(), is(VersionVerdict.BAD));
    }

    /** Nobody knows yet whether those under way are late. */
    @Test
    void aVersionWithManyAnswersUnderWayIsNotFoundSound() {
        Random random = new Random(5312);
        usual(random, 300);
        for (int index = 0; index < 30; index++) {
            answer(evidence, NEW, millis(random));
            evidence.recordSent(NEW, 0);
        }
        assertThat(judge(150).verdict(), is(not(VersionVerdict.SOUND)));
    }

    @Test
    void halfOfTheAnswersEightTimesSlowerAreFoundWithinAHundred() {
        Random random = new Random(5313);
        usual(random, 300);
        int exposed = 0;
        while (judge(0).verdict() != VersionVerdict.BAD) {
            answer(evidence, NEW, random.nextBoolean() ? millis(random) : millis(random) * 8);
            exposed++;
        }
        assertThat(exposed, lessThanOrEqualTo(100));
    }

    @Test
    void aVersionThatIsSlowOnOneKindOfWorkAloneIsFound() {
        Random random = new Random(5314);
        VersionOutcomeKey oldNotes = new VersionOutcomeKey("model", "v1", "notes");
        VersionOutcomeKey newNotes = new VersionOutcomeKey("model", TARGET, "notes");
        usual(random, 300);
        for (int index = 0; index < 100; index++) {
            answer(evidence, oldNotes, millis(random) / 10);
            answer(evidence, NEW, millis(random));
        }
        for (int index = 0; index < 20; index++) {
            answer(evidence, newNotes, millis(random));
        }
        assertThat(judge(0).verdict(), is(VersionVerdict.BAD));
    }

    @Test
    void aFewAnswersSayNothing() {
        Random random = new Random(5315);
        usual(random, 300);
        for (int index = 0; index < 10; index++) {
            answer(evidence, NEW, millis(random));
        }
        assertThat(judge(0).verdict(), is(VersionVerdict.UNKNOWN));
    }

    /** Its engines have no prompts in memory yet, so that each answer takes longer by the time in which its prompt is read. */
    @Test
    void aVersionOfEnginesWithEmptyMemoryIsNotBad() {
        Random random = new Random(5316);
        usual(random, 300);
        for (int index = 0; index < 200; index++) {
            answer(evidence, NEW, millis(random) * 1.3);
        }
        assertThat(judge(0).verdict(), is(not(VersionVerdict.BAD)));
    }

    /** A slow version was kept whose 38 answers spoke against it by one standard error. */
    @Test
    void aVersionThatMayBeSlowIsUnderSuspicion() {
        LatencyHistogram usual = LatencyHistogram.of(Map.of(40, 250L, 60, 250L));
        LatencyHistogram target = LatencyHistogram.of(Map.of(53, 35L, 70, 3L));
        ServiceEvidence seen = new ServiceEvidence(Map.of(
                OLD.versionClass(), new VersionCounts(500, 0, usual, LatencyHistogram.empty()),
                NEW.versionClass(), new VersionCounts(38, 0, target, LatencyHistogram.empty())));
        assertThat(VersionJudge.judge(seen, TARGET).verdict(), is(VersionVerdict.SUSPECT));
    }

    /** One router after the other sums up what it has heard, again and again. */
    @Test
    void aVersionLikeTheOthersIsFoundSoundAndHardlyEverBad() {
        Random random = new Random(5317);
        int bad = 0;
        int sound = 0;
        for (int move = 0; move < 300; move++) {
            VersionOutcomeRecorder own = VersionOutcomeRecorder.create();
            boolean wasBad = false;
            for (int index = 0; index < 100; index++) {
                answer(own, OLD, millis(random));
                answer(own, OLD, millis(random));
                answer(own, NEW, millis(random));
                wasBad |= VersionJudge.judge(own.evidence("model", 0), TARGET).verdict() == VersionVerdict.BAD;
            }
            bad += wasBad ? 1 : 0;
            sound += VersionJudge.judge(own.evidence("model", 0), TARGET).verdict() == VersionVerdict.SOUND ? 1 : 0;
        }
        assertThat(bad, lessThanOrEqualTo(1));
        assertThat(300 - sound, lessThanOrEqualTo(3));
    }

    /** A burst makes the answers of all versions late. */
    @Test
    void whatHitsAllVersionsAlikeSpeaksAgainstNone() {
        Random random = new Random(5318);
        for (int index = 0; index < 400; index++) {
            double factor = index < 200 ? 1 : 10;
            answer(evidence, OLD, millis(random) * factor);
            answer(evidence, NEW, millis(random) * factor);
        }
        assertThat(judge(0).verdict(), is(VersionVerdict.SOUND));
    }

    @Test
    void anAttemptThatWasRefusedSaysNothing() {
        Random random = new Random(5319);
        usual(random, 300);
        for (int index = 0; index < 40; index++) {
            answer(evidence, NEW, millis(random));
            evidence.recordNotRun(evidence.recordSent(NEW, 0));
        }
        assertThat(judge(5_000).verdict(), is(VersionVerdict.SOUND));
    }

    private void usual(Random random, int answers) {
        for (int index = 0; index < answers; index++) {
            answer(evidence, OLD, millis(random));
        }
    }

    private static void answer(VersionOutcomeRecorder evidence, VersionOutcomeKey key, double millis) {
        evidence.recordStart(evidence.recordSent(key, 0), (long) (millis * NANOS_PER_MILLI));
        evidence.recordAnswer(key);
    }

    private VersionJudgement judge(long nowMillis) {
        return VersionJudge.judge(evidence.evidence("model", (long) (nowMillis * NANOS_PER_MILLI)), TARGET);
    }

    private static double millis(Random random) {
        return MEDIAN_MILLIS * Math.exp(random.nextGaussian() * SPREAD);
    }
}
