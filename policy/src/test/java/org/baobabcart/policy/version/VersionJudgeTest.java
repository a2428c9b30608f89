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

    /**
     * Without the pending attempts, the version would be judged by its fast answers, which are like those of the
     * others.
     */
    @Test
    void countsPendingAttemptsAsSlow() {
        Random random = new Random(5311);
        recordBaseline(random, 300);
        for (int index = 0; index < 30; index++) {
            recordAnswer(evidence, NEW, millis(random));
            evidence.recordSent(NEW, 0);
        }
        assertThat(judge(900).verdict(), is(VersionVerdict.BAD));
    }

    /** The pending attempts may still turn out to be late. */
    @Test
    void isNotSoundWithManyPendingAttempts() {
        Random random = new Random(5312);
        recordBaseline(random, 300);
        for (int index = 0; index < 30; index++) {
            recordAnswer(evidence, NEW, millis(random));
            evidence.recordSent(NEW, 0);
        }
        assertThat(judge(150).verdict(), is(not(VersionVerdict.SOUND)));
    }

    @Test
    void detectsHalfOfAnswersEightTimesSlowerWithinHundred() {
        Random random = new Random(5313);
        recordBaseline(random, 300);
        int exposed = 0;
        while (judge(0).verdict() != VersionVerdict.BAD) {
            recordAnswer(evidence, NEW, random.nextBoolean() ? millis(random) : millis(random) * 8);
            exposed++;
        }
        assertThat(exposed, lessThanOrEqualTo(100));
    }

    @Test
    void detectsSlownessOfSingleRequestClass() {
        Random random = new Random(5314);
        VersionOutcomeKey oldNotes = new VersionOutcomeKey("model", "v1", "notes");
        VersionOutcomeKey newNotes = new VersionOutcomeKey("model", TARGET, "notes");
        recordBaseline(random, 300);
        for (int index = 0; index < 100; index++) {
            recordAnswer(evidence, oldNotes, millis(random) / 10);
            recordAnswer(evidence, NEW, millis(random));
        }
        for (int index = 0; index < 20; index++) {
            recordAnswer(evidence, newNotes, millis(random));
        }
        assertThat(judge(0).verdict(), is(VersionVerdict.BAD));
    }

    @Test
    void isUnknownAfterFewAnswers() {
        Random random = new Random(5315);
        recordBaseline(random, 300);
        for (int index = 0; index < 10; index++) {
            recordAnswer(evidence, NEW, millis(random));
        }
        assertThat(judge(0).verdict(), is(VersionVerdict.UNKNOWN));
    }

    /** New engines start with an empty prompt cache, so that each answer is delayed by the processing of its prompt. */
    @Test
    void toleratesEmptyPromptCache() {
        Random random = new Random(5316);
        recordBaseline(random, 300);
        for (int index = 0; index < 200; index++) {
            recordAnswer(evidence, NEW, millis(random) * 1.3);
        }
        assertThat(judge(0).verdict(), is(not(VersionVerdict.BAD)));
    }

    /** Guards against accepting a slow version whose 38 answers exceeded the baseline by only one standard error. */
    @Test
    void suspectsPossiblySlowVersion() {
        LatencyHistogram baseline = LatencyHistogram.of(Map.of(40, 250L, 60, 250L));
        LatencyHistogram target = LatencyHistogram.of(Map.of(53, 35L, 70, 3L));
        ServiceEvidence serviceEvidence = new ServiceEvidence(Map.of(
                OLD.versionClass(), new VersionCounts(500, 0, baseline, LatencyHistogram.empty()),
                NEW.versionClass(), new VersionCounts(38, 0, target, LatencyHistogram.empty())));
        assertThat(VersionJudge.judge(serviceEvidence, TARGET).verdict(), is(VersionVerdict.SUSPECT));
    }

    /** The evidence is judged after each answer, as successive routers do. */
    @Test
    void equalVersionIsSoundAndRarelyBad() {
        Random random = new Random(5317);
        int bad = 0;
        int sound = 0;
        for (int move = 0; move < 300; move++) {
            VersionOutcomeRecorder moveEvidence = VersionOutcomeRecorder.create();
            boolean wasBad = false;
            for (int index = 0; index < 100; index++) {
                recordAnswer(moveEvidence, OLD, millis(random));
                recordAnswer(moveEvidence, OLD, millis(random));
                recordAnswer(moveEvidence, NEW, millis(random));
                wasBad |= VersionJudge.judge(moveEvidence.evidence("model", 0), TARGET)
                                .verdict()
                        == VersionVerdict.BAD;
            }
            bad += wasBad ? 1 : 0;
            sound += VersionJudge.judge(moveEvidence.evidence("model", 0), TARGET)
                                    .verdict()
                            == VersionVerdict.SOUND
                    ? 1
                    : 0;
        }
        assertThat(bad, lessThanOrEqualTo(1));
        assertThat(300 - sound, lessThanOrEqualTo(3));
    }

    /** A burst of load delays the answers of all versions. */
    @Test
    void ignoresSlownessCommonToAllVersions() {
        Random random = new Random(5318);
        for (int index = 0; index < 400; index++) {
            double factor = index < 200 ? 1 : 10;
            recordAnswer(evidence, OLD, millis(random) * factor);
            recordAnswer(evidence, NEW, millis(random) * factor);
        }
        assertThat(judge(0).verdict(), is(VersionVerdict.SOUND));
    }

    @Test
    void ignoresAttemptsThatDidNotRun() {
        Random random = new Random(5319);
        recordBaseline(random, 300);
        for (int index = 0; index < 40; index++) {
            recordAnswer(evidence, NEW, millis(random));
            evidence.recordNotRun(evidence.recordSent(NEW, 0));
        }
        assertThat(judge(5_000).verdict(), is(VersionVerdict.SOUND));
    }

    private void recordBaseline(Random random, int answers) {
        for (int index = 0; index < answers; index++) {
            recordAnswer(evidence, OLD, millis(random));
        }
    }

    private static void recordAnswer(VersionOutcomeRecorder evidence, VersionOutcomeKey key, double millis) {
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
