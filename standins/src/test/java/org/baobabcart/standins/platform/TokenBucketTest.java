package org.baobabcart.standins.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class TokenBucketTest {
    private static final long SECOND = 1_000_000_000;

    @Test
    void rejectsCallsAboveTheRateAndRefills() {
        TokenBucket bucket = TokenBucket.of(2, 0);
        assertThat(bucket.tryAcquire(0), is(true));
        assertThat(bucket.tryAcquire(0), is(true));
        assertThat(bucket.tryAcquire(0), is(false));
        assertThat(bucket.tryAcquire(SECOND / 2), is(true));
        assertThat(bucket.tryAcquire(SECOND / 2), is(false));
    }
}
