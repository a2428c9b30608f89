package org.baobabcart.policy.outage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class StoreContactTest {
    private static final Duration SHORTEST = Duration.ofSeconds(2);

    private final StoreContact contact = StoreContact.create(SHORTEST, 0);

    @Test
    void answersAtShorterTimesShowNoOutage() {
        for (long second = 1; second < 10; second++) {
            contact.answered(second * SHORTEST.toNanos() / 2);
        }
        assertThat(contact.hasOutageEndedSince(0), is(false));
    }

    @Test
    void outageEndsWithTheFirstAnswerAfterIt() {
        long end = SHORTEST.toNanos();
        contact.answered(end);
        contact.answered(end + 1);
        assertThat(contact.hasOutageEndedSince(end - 1), is(true));
        assertThat(contact.hasOutageEndedSince(end), is(false));
        assertThat(contact.outageEndNanos(), is(end));
    }
}
