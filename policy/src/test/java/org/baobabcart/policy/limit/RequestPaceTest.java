package org.baobabcart.policy.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class RequestPaceTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    /** Whenever requests come and however the limit changes, no window has more than one request beyond the highest limit in it. */
    @Property(seed = "3221")
    void windowsKeepToTheRate(
            @ForAll @Size(min = 1, max = 200) List<@IntRange(max = 900) Integer> gapsMillis,
            @ForAll @DoubleRange(min = 0.2, max = 40) double first,
            @ForAll @DoubleRange(min = 0.2, max = 40) double second) {
        RequestPace pace = RequestPace.startingAfter(first, 0);
        List<Long> sent = new ArrayList<>();
        long now = 0;
        for (int index = 0; index < gapsMillis.size(); index++) {
            now += Duration.ofMillis(gapsMillis.get(index)).toNanos();
            pace = index == gapsMillis.size() / 2 ? pace.withRate(second) : pace;
            if (pace.allows(now)) {
                sent.add(now);
                pace = pace.afterRequest(now);
            }
        }
        for (int begin = 0; begin < sent.size(); begin++) {
            for (int end = begin; end < sent.size(); end++) {
                double seconds = (double) (sent.get(end) - sent.get(begin)) / SECOND;
                assertThat((double) (end - begin), lessThanOrEqualTo(seconds * Math.max(first, second) + 1e-6));
            }
        }
    }

    @Test
    void limitOfZeroLeavesOneRequestInFiveSeconds() {
        RequestPace pace = RequestPace.startingAfter(0, 0);
        assertThat(pace.allows(4 * SECOND), is(false));
        assertThat(pace.allows(5 * SECOND), is(true));
    }
}
