package org.baobabcart.standins.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import org.junit.jupiter.api.Test;

class ContinuousBatchTest {
    private final ContinuousBatch batch = ContinuousBatch.of(2, 10);

    @Test
    void stepsSlowDownAsTheBatchGrows() {
        batch.add(generation(1));
        batch.admit();
        double alone = batch.nextStepMillis();
        batch.add(generation(1));
        batch.admit();
        assertThat(alone, equalTo(10.0));
        assertThat(batch.nextStepMillis(), greaterThan(alone));
    }

    @Test
    void urgentRequestsOvertakeInTheWaitingLine() {
        batch.add(generation(2));
        batch.add(generation(2));
        batch.admit();
        Generation patient = generation(2);
        Generation urgent = generation(0);
        batch.add(patient);
        batch.add(urgent);
        batch.remove(patient);
        assertThat(batch.waiting(), equalTo(1));
        batch.add(patient);
        Generation first = generation(1);
        batch.remove(urgent);
        batch.add(first);
        batch.add(urgent);
        assertThat(batch.running(), equalTo(2));
        assertThat(batch.waiting(), equalTo(3));
        assertThat(batch.nextInLine().orElseThrow(), equalTo(urgent));
    }

    private static Generation generation(int priority) {
        return new Generation(new CompletionRequest("text", 4, false, true), null, null, priority, 0);
    }
}
