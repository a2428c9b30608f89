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
    private static final WindowBudget.Settings SETTINGS = new WindowBudget.Settings(0.5, 2, 10 * SECOND);

    /** A data centre is cut off: streams that began over the last seconds break at one moment. */
    @Test
    void aBurstOfBrokenStreamsIsRepeatedWhole() {
        WindowBudget window = WindowBudget.create(SETTINGS, 0);
        RetryBudget bucket = RetryBudget.create(new RetryBudget.Settings(0.5, 0.2, 8), 0);
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
        WindowBudget budget = WindowBudget.create(SETTINGS, 0);
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

    /** What the first tries of a window, and of the slot before it, allow. */
    private static double allowed(List<Long> firsts, long now) {
        return 0.5 * since(firsts, now - 10 * SECOND - SECOND / 2) + 2;
    }

    private static long since(List<Long> times, long begin) {
        return times.stream().filter(at -> at > begin).count();
    }
}
