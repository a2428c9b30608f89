package org.baobabcart.policy.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class SlidingWindowRetryBudgetTest {
    private static final long SECOND = 1_000_000_000L;
    private static final SlidingWindowRetryBudget.Settings SETTINGS =
            new SlidingWindowRetryBudget.Settings(0.5, 0.1, 2, 10 * SECOND);

    /** When a data centre is cut off, streams that started over the last seconds break at the same moment. */
    @Test
    void burstOfBrokenStreamsIsRetriedCompletely() {
        SlidingWindowRetryBudget window = SlidingWindowRetryBudget.create(SETTINGS, 0);
        TokenBucketRetryBudget bucket =
                TokenBucketRetryBudget.create(new TokenBucketRetryBudget.Settings(0.5, 0.2, 8), 0);
        for (int request = 0; request < 60; request++) {
            window.recordFirstAttempt(request * SECOND / 6);
            bucket.recordFirstAttempt(request * SECOND / 6);
        }
        int windowRetries = 0;
        int bucketRetries = 0;
        for (int stream = 0; stream < 25; stream++) {
            windowRetries += window.tryRetry(10 * SECOND) ? 1 : 0;
            bucketRetries += bucket.tryRetry(10 * SECOND) ? 1 : 0;
        }
        assertThat(windowRetries, is(25));
        assertThat(windowRetries, greaterThanOrEqualTo(3 * bucketRetries));
    }

    @Property
    void retriesInEveryWindowStayWithinTheLimit(@ForAll long seed) {
        Random random = new Random(seed);
        SlidingWindowRetryBudget budget = SlidingWindowRetryBudget.create(SETTINGS, 0);
        List<Long> firstAttempts = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        long now = 0;
        for (int step = 0; step < 400; step++) {
            now += random.nextLong(SECOND / 2);
            if (random.nextInt(3) > 0) {
                budget.recordFirstAttempt(now);
                firstAttempts.add(now);
            } else if (budget.tryRetry(now)) {
                retries.add(now);
                assertThat(
                        (double) countAfter(retries, now - 10 * SECOND),
                        lessThanOrEqualTo(allowed(firstAttempts, now)));
            }
        }
    }

    /**
     * Simulates 450 routers, the target size of the fleet, whose service fails every attempt; the limit of the whole
     * fleet has a slack of one retry per router.
     */
    @Property(tries = 50)
    void manyBudgetsTogetherStayWithinTheFleetLimit(@ForAll long seed) {
        Random random = new Random(seed);
        int routers = 450;
        double ratio = 0.9;
        SlidingWindowRetryBudget.Settings settings =
                new SlidingWindowRetryBudget.Settings(0.765, 0.135, routers / 30.0, 10 * SECOND);
        int firstAttempts = 0;
        int retries = 0;
        for (int router = 0; router < routers; router++) {
            SlidingWindowRetryBudget budget = SlidingWindowRetryBudget.create(settings, 0);
            int own = random.nextInt(5);
            for (int request = 0; request < own; request++) {
                budget.recordFirstAttempt(SECOND);
                firstAttempts++;
            }
            for (int attempt = 0; attempt < 2 * own; attempt++) {
                retries += budget.tryRetry(SECOND) ? 1 : 0;
            }
        }
        assertThat((double) retries, lessThanOrEqualTo(ratio * firstAttempts + routers));
    }

    @Test
    void updatedSettingsKeepCountsIfTheWindowLengthIsUnchanged() {
        SlidingWindowRetryBudget budget = SlidingWindowRetryBudget.create(SETTINGS, 0);
        for (int request = 0; request < 20; request++) {
            budget.recordFirstAttempt(SECOND);
        }
        budget.updateSettings(new SlidingWindowRetryBudget.Settings(0, 0, 0, 10 * SECOND), SECOND);
        assertThat(budget.tryRetry(SECOND), is(false));
        budget.updateSettings(SETTINGS, SECOND);
        assertThat(budget.availableRetries(SECOND), is(12.0));
        budget.updateSettings(new SlidingWindowRetryBudget.Settings(0.5, 0.1, 2, 20 * SECOND), SECOND);
        assertThat(budget.availableRetries(SECOND), is(1.0));
    }

    /** Returns the number of retries that the first attempts of a window, and of the slot before it, allow. */
    private static double allowed(List<Long> firstAttempts, long now) {
        return 0.5 * countAfter(firstAttempts, now - 10 * SECOND - SECOND / 2) + 2;
    }

    private static long countAfter(List<Long> times, long begin) {
        return times.stream().filter(at -> at > begin).count();
    }
}
