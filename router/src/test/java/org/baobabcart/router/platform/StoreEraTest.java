package org.baobabcart.router.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class StoreEraTest {
    private final StoreEra era = StoreEra.unknown();
    private final AtomicInteger changes = new AtomicInteger();

    StoreEraTest() {
        era.onChange(changes::incrementAndGet);
    }

    private boolean observe(StoreEra.Mark begun, long told) {
        return era.observe(begun, OptionalLong.of(told));
    }

    @Test
    void lateAnswerOfAnEarlierEraChangesNothing() {
        observe(era.mark(), 1);
        StoreEra.Mark begun = era.mark();
        assertThat(observe(era.mark(), 2), is(true));
        assertThat(observe(begun, 1), is(false));
        assertThat(era.era(), is(OptionalLong.of(2)));
        assertThat(changes.get(), is(2));
    }

    @Test
    void answerOfANewerEraHoldsWheneverItsCallBegan() {
        observe(era.mark(), 1);
        StoreEra.Mark begun = era.mark();
        observe(era.mark(), 2);
        assertThat(observe(begun, 3), is(true));
        assertThat(era.era(), is(OptionalLong.of(3)));
    }

    /** A number that is far ahead, or a store whose count begins anew, must not shut the router off. */
    @Test
    void earlierEraInTheAnswerToALaterCallHolds() {
        observe(era.mark(), Long.MAX_VALUE);
        assertThat(observe(era.mark(), 2), is(true));
        assertThat(era.era(), is(OptionalLong.of(2)));
    }

    @Test
    void answerWithoutAnEraIsOfThePresentOne() {
        observe(era.mark(), 4);
        assertThat(era.observe(era.mark(), OptionalLong.empty()), is(true));
        assertThat(era.era(), is(OptionalLong.of(4)));
        assertThat(changes.get(), is(1));
    }
}
