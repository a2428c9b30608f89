package org.baobabcart.standins.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class TokenBucketTest {
    private static final long SECOND = 1_000_000_000;

    @Test
    void refusesAboveTheRateAndRefills() {
        TokenBucket bucket = TokenBucket.of(2, 0);
        assertThat(bucket.take(0), is(true));
        assertThat(bucket.take(0), is(true));
        assertThat(bucket.take(0), is(false));
        assertThat(bucket.take(SECOND / 2), is(true));
        assertThat(bucket.take(SECOND / 2), is(false));
    }
}
