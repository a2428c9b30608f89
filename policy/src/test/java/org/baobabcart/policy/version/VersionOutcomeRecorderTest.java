package org.baobabcart.policy.version;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Random;
import org.junit.jupiter.api.Test;

class VersionOutcomeRecorderTest {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final VersionOutcomeKey OLD = new VersionOutcomeKey("model", "v1", "chat");
    private static final VersionOutcomeKey NEW = new VersionOutcomeKey("model", "v2", "chat");
    private static final VersionOutcomeKey NEW_NOTES = new VersionOutcomeKey("model", "v2", "notes");
    private final VersionOutcomeRecorder evidence = VersionOutcomeRecorder.create();

    @Test
    void detectsFiftyPercentFailuresWithinTwentyRequests() {
        for (int index = 0; index < 100; index++) {
            evidence.recordAnswer(OLD);
        }
        int exposed = 0;
        Random random = new Random(5301);
        while (!isBad(evidence)) {
            exposed++;
            if (random.nextBoolean()) {
                evidence.recordFailure(NEW);
            } else {
                evidence.recordAnswer(NEW);
            }
        }
        assertThat(exposed, lessThanOrEqualTo(20));
    }

    @Test
    void detectsFailuresOfSingleRequestClass() {
        for (int index = 0; index < 100; index++) {
            evidence.recordAnswer(OLD);
            evidence.recordAnswer(NEW);
        }
        for (int index = 0; index < 4; index++) {
            evidence.recordFailure(NEW_NOTES);
        }
        assertThat(isBad(evidence), is(true));
    }

    @Test
    void detectsEightfoldLatency() {
        Random random = new Random(5302);
        for (int index = 0; index < 12; index++) {
            recordLatency(evidence, OLD, logNormalMillis(random, 100));
            recordLatency(evidence, NEW, logNormalMillis(random, 800));
        }
        assertThat(isBad(evidence), is(true));
    }

    /** Each router tests every request class of a good version repeatedly, so that chance alone must not reject it. */
    @Test
    void doesNotRejectGoodVersionWithHighLatencyVariance() {
        Random random = new Random(5303);
        int rejected = 0;
        for (int router = 0; router < 300; router++) {
            VersionOutcomeRecorder routerEvidence = VersionOutcomeRecorder.create();
            boolean bad = false;
            for (int index = 0; index < 60; index++) {
                recordLatency(routerEvidence, OLD, logNormalMillis(random, 100));
                recordLatency(routerEvidence, OLD, logNormalMillis(random, 100));
                recordLatency(routerEvidence, NEW, logNormalMillis(random, 100));
                bad |= isBad(routerEvidence);
            }
            rejected += bad ? 1 : 0;
        }
        assertThat(rejected, lessThanOrEqualTo(1));
    }

    private static void recordLatency(VersionOutcomeRecorder evidence, VersionOutcomeKey key, double millis) {
        evidence.recordStart(evidence.recordSent(key, 0), (long) (millis * NANOS_PER_MILLI));
    }

    private static boolean isBad(VersionOutcomeRecorder evidence) {
        return VersionJudge.judge(evidence.evidence("model", 0), "v2").verdict() == VersionVerdict.BAD;
    }

    private static double logNormalMillis(Random random, double median) {
        return median * Math.exp(random.nextGaussian() * 0.8);
    }

    @Test
    void ignoresFailuresCommonToAllVersions() {
        for (int index = 0; index < 40; index++) {
            evidence.recordAnswer(OLD);
            evidence.recordAnswer(NEW);
            if (index % 4 == 0) {
                evidence.recordFailure(OLD);
                evidence.recordFailure(NEW);
            }
        }
        assertThat(isBad(evidence), is(false));
    }

    @Test
    void clearRemovesEvidenceOfService() {
        for (int index = 0; index < 9; index++) {
            evidence.recordFailure(NEW);
        }
        evidence.clear("model");
        assertThat(isBad(evidence), is(false));
    }
}
