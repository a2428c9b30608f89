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

class WindowBudgetTest {
    private static final long SECOND = 1_000_000_000L;
    private static final SlidingWindowRetryBudget.Settings SETTINGS =
            new SlidingWindowRetryBudget.Settings(0.5, 0.1, 2, 10 * SECOND);

    /** A data centre is cut off: streams that began over the last seconds break at one moment. */
    @Test
    void aBurstOfBrokenStreamsIsRepeatedWhole() {
        SlidingWindowRetryBudget window = SlidingWindowRetryBudget.create(SETTINGS, 0);
        TokenBucketRetryBudget bucket =
                TokenBucketRetryBudget.create(new TokenBucketRetryBudget.Settings(0.5, 0.2, 8), 0);
        for (int request = 0; request < 60; request++) {
            window.firstTry(request * SECOND / 6);
            bucket.firstTry(request * SECOND / 6);
        }
        int byWindow = 0;
        int byBucket = 0;
        for (int stream = 0; stream < 25; stream++) {
            byWindow += window.tryRepeat(10 * SECOND) ? 1 : 0;
            byBucket += bucket.tryRetry(10 * SECOND) ? 1 : 0;
        }
        assertThat(byWindow, is(25));
        assertThat(byWindow, greaterThanOrEqualTo(3 * byBucket));
    }

    @Property
    void noSpanOfTheWindowsLengthHoldsMoreRepeatsThanItsFirstTriesAllow(@ForAll long seed) {
        Random random = new Random(seed);
        SlidingWindowRetryBudget budget = SlidingWindowRetryBudget.create(SETTINGS, 0);
        List<Long> firsts = new ArrayList<>();
        List<Long> repeats = new ArrayList<>();
        long now = 0;
        for (int step = 0; step < 400; step++) {
            now += random.nextLong(SECOND / 2);
            if (random.nextInt(3) > 0) {
                budget.firstTry(now);
                firsts.add(now);
            } else if (budget.tryRepeat(now)) {
                repeats.add(now);
                assertThat((double) since(repeats, now - 10 * SECOND), lessThanOrEqualTo(allowed(firsts, now)));
            }
        }
    }

    /** The target's 450 routers, before a service that fails each attempt; the limit of the whole fleet has a slack of one a router. */
    @Property(tries = 50)
    void manyBudgetsTogetherKeepTheLimitOfTheFleet(@ForAll long seed) {
        Random random = new Random(seed);
        int routers = 450;
        double ratio = 0.9;
        SlidingWindowRetryBudget.Settings settings =
                new SlidingWindowRetryBudget.Settings(0.765, 0.135, routers / 30.0, 10 * SECOND);
        int firsts = 0;
        int repeats = 0;
        for (int router = 0; router < routers; router++) {
            SlidingWindowRetryBudget budget = SlidingWindowRetryBudget.create(settings, 0);
            int own = random.nextInt(5);
            for (int request = 0; request < own; request++) {
                budget.firstTry(SECOND);
                firsts++;
            }
            for (int attempt = 0; attempt < 2 * own; attempt++) {
                repeats += budget.tryRepeat(SECOND) ? 1 : 0;
            }
        }
        assertThat((double) repeats, lessThanOrEqualTo(ratio * firsts + routers));
    }

    @Test
    void otherSettingsKeepWhatWasCountedInAWindowOfTheSameLength() {
        SlidingWindowRetryBudget budget = SlidingWindowRetryBudget.create(SETTINGS, 0);
        for (int request = 0; request < 20; request++) {
            budget.firstTry(SECOND);
        }
        budget.use(new SlidingWindowRetryBudget.Settings(0, 0, 0, 10 * SECOND), SECOND);
        assertThat(budget.tryRepeat(SECOND), is(false));
        budget.use(SETTINGS, SECOND);
        assertThat(budget.left(SECOND), is(12.0));
        budget.use(new SlidingWindowRetryBudget.Settings(0.5, 0.1, 2, 20 * SECOND), SECOND);
        assertThat(budget.left(SECOND), is(1.0));
    }

    /** What the first tries of a window, and of the slot before it, allow. */
    private static double allowed(List<Long> firsts, long now) {
        return 0.5 * since(firsts, now - 10 * SECOND - SECOND / 2) + 2;
    }

    private static long since(List<Long> times, long begin) {
        return times.stream().filter(at -> at > begin).count();
    }
}
