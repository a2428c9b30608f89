package org.baobabcart.policy.clock;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class HybridClockTest {
    private static final long LEAD_MILLIS = 1_000;
    private static final long START_MILLIS = 1_700_000_000_000L;

    @Property(tries = 2000, seed = "7101")
    void timestampsOfOneNodeIncreaseAlthoughItsWallClockJumps(
            @ForAll @Size(min = 1, max = 50) List<@LongRange(max = 5_000) Long> wallClocks) {
        HybridClock clock = HybridClock.create();
        for (long wallClock : wallClocks) {
            HybridClock next = clock.tick(START_MILLIS + wallClock);
            assertThat(next, greaterThan(clock));
            clock = next;
        }
    }

    @Property(tries = 2000, seed = "7102")
    void effectsFollowTheirCausesAndClocksStayBounded(
            @ForAll @Size(min = 1, max = 80) List<@IntRange(max = 8) Integer> messages,
            @ForAll @Size(value = 3) List<@LongRange(max = 400) Long> skews) {
        HybridClock[] clocks = {HybridClock.create(), HybridClock.create(), HybridClock.create()};
        long trueMillis = START_MILLIS;
        for (int message : messages) {
            int from = message / 3;
            int to = message % 3;
            trueMillis++;
            clocks[from] = clocks[from].tick(trueMillis + skews.get(from));
            HybridClock sent = clocks[from];
            clocks[to] = clocks[to].receive(sent.timestamp(), trueMillis + skews.get(to), LEAD_MILLIS);
            assertThat(clocks[to], greaterThan(sent));
            assertThat(clocks[to].millis(), lessThanOrEqualTo(trueMillis + 400));
        }
    }

    @Test
    void implausibleTimestampIsIgnored() {
        HybridClock clock = HybridClock.create().tick(START_MILLIS);
        long implausible =
                HybridClock.create().tick(START_MILLIS + 2 * LEAD_MILLIS).timestamp();
        assertThat(clock.receive(implausible, START_MILLIS, LEAD_MILLIS).millis(), is(START_MILLIS));
    }
}
