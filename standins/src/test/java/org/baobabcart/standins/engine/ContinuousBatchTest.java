package org.baobabcart.standins.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;

import org.junit.jupiter.api.Test;

class ContinuousBatchTest {
    private final ContinuousBatch batch = ContinuousBatch.of(2, 10);

    @Test
    void stepsTakeLongerAsTheBatchGrows() {
        batch.add(generation(1));
        batch.admit();
        double alone = batch.nextStepMillis();
        batch.add(generation(1));
        batch.admit();
        assertThat(alone, equalTo(10.0));
        assertThat(batch.nextStepMillis(), greaterThan(alone));
    }

    @Test
    void urgentRequestsOvertakeInTheQueue() {
        batch.add(generation(2));
        batch.add(generation(2));
        batch.admit();
        Generation lowPriority = generation(2);
        Generation urgent = generation(0);
        batch.add(lowPriority);
        batch.add(urgent);
        batch.remove(lowPriority);
        assertThat(batch.waiting(), equalTo(1));
        batch.add(lowPriority);
        Generation mediumPriority = generation(1);
        batch.remove(urgent);
        batch.add(mediumPriority);
        batch.add(urgent);
        assertThat(batch.running(), equalTo(2));
        assertThat(batch.waiting(), equalTo(3));
        assertThat(batch.nextWaiting().orElseThrow(), equalTo(urgent));
    }

    private static Generation generation(int priority) {
        return new Generation(new CompletionRequest("text", 4, false, true), null, null, priority, 0);
    }
}
