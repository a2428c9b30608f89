package org.baobabcart.policy.version;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Random;
import org.junit.jupiter.api.Test;

class VersionEvidenceTest {
    private static final VersionOutcomeKey OLD = new VersionOutcomeKey("model", "v1", "chat");
    private static final VersionOutcomeKey NEW = new VersionOutcomeKey("model", "v2", "chat");
    private static final VersionOutcomeKey NEW_NOTES = new VersionOutcomeKey("model", "v2", "notes");
    private final VersionEvidence evidence = VersionEvidence.create();

    @Test
    void aVersionOfWhichHalfTheAnswersFailIsFoundWithinAFewRequests() {
        for (int index = 0; index < 100; index++) {
            evidence.answered(OLD, 1);
        }
        int exposed = 0;
        Random random = new Random(5301);
        while (evidence.fault("model", "v2").isEmpty()) {
            exposed++;
            if (random.nextBoolean()) {
                evidence.failed(NEW);
            } else {
                evidence.answered(NEW, 1);
            }
        }
        assertThat(exposed, lessThanOrEqualTo(20));
    }

    @Test
    void aVersionThatIsBadOnOneRouteAloneIsFound() {
        for (int index = 0; index < 100; index++) {
            evidence.answered(OLD, 1);
            evidence.answered(NEW, 1);
        }
        for (int index = 0; index < 4; index++) {
            evidence.failed(NEW_NOTES);
        }
        assertThat(evidence.fault("model", "v2").isPresent(), is(true));
    }

    @Test
    void aVersionThatTakesSeveralTimesAsLongIsFound() {
        for (int index = 0; index < 20; index++) {
            evidence.answered(OLD, 2);
            evidence.answered(NEW, 9);
        }
        assertThat(evidence.fault("model", "v2").isPresent(), is(true));
    }

    @Test
    void failuresThatHitAllVersionsAlikeStopNothing() {
        for (int index = 0; index < 40; index++) {
            evidence.answered(OLD, 1);
            evidence.answered(NEW, 1);
            if (index % 4 == 0) {
                evidence.failed(OLD);
                evidence.failed(NEW);
            }
        }
        assertThat(evidence.fault("model", "v2").isPresent(), is(false));
    }

    @Test
    void aNewOrderBeginsWithoutEvidence() {
        for (int index = 0; index < 9; index++) {
            evidence.failed(NEW);
        }
        evidence.forget("model");
        assertThat(evidence.fault("model", "v2").isPresent(), is(false));
    }
}
