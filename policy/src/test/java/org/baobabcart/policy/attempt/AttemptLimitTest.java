package org.baobabcart.policy.attempt;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.baobabcart.model.gateway.RetryPolicy;
import org.baobabcart.model.result.Ran;
import org.baobabcart.policy.retry.SlidingWindowRetryBudget;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AttemptLimitTest {
    private static final int ROUTERS = 29;
    private static final int UPSTREAMS = 100;
    private static final int REPLACED = 40;
    private static final int REQUESTS_PER_SECOND = 400;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final SlidingWindowRetryBudget.Settings BUDGET =
            new SlidingWindowRetryBudget.Settings(0.765, 0.135, 6, 10_000_000_000L);

    /** Decides whether a request that was rejected may be sent elsewhere. */
    private interface Rule {
        boolean allowsAnother(int tried, AttemptHistory history);
    }

    /** Forty of a hundred upstreams are replaced at once, and the list shows it later. */
    @ParameterizedTest
    @CsvSource({"1, 1.0", "1, 2.0", "2, 2.0", "3, 1.0", "3, 2.0"})
    void requestsAreServedWhileTheListLagsBehindRestarts(int maximumRuns, double lagSeconds) {
        Replay before = new Replay((tried, history) -> history.sent() < maximumRuns);
        Replay after = new Replay(new AttemptLimit(maximumRuns)::allowsAnother);
        before.run(lagSeconds);
        after.run(lagSeconds);
        assertThat(before.refused, greaterThan((int) (0.01 * lagSeconds * REQUESTS_PER_SECOND)));
        assertThat(after.refused, is(0));
    }

    @Property
    void runsAndAttemptsAreBounded(
            @ForAll RetryPolicy repeat,
            @ForAll @IntRange(min = 1, max = 5) int maximumRuns,
            @ForAll @Size(max = 40) List<Ran> ends) {
        AttemptLimit limit = new AttemptLimit(maximumRuns);
        AttemptHistory history = AttemptHistory.of(repeat);
        int tried = 0;
        int runs = 0;
        for (Ran end : ends) {
            boolean isAllowed = tried == 0 || limit.allowsAnother(tried, history);
            if (!isAllowed || !history.maySend()) {
                break;
            }
            tried++;
            history = history.withSend().withEnd(end);
            runs += end == Ran.NO ? 0 : 1;
        }
        assertThat(runs, lessThanOrEqualTo(repeat.repeatable() ? maximumRuns : 1));
        assertThat(tried, lessThanOrEqualTo(maximumRuns + AttemptLimit.MAXIMUM_NOT_RUN));
    }

    /** Requests of a fleet whose routers each learn of a replaced upstream by a rejection. */
    private static final class Replay {
        private final Random random = new Random(4_021);
        private final Rule rule;
        private final List<Set<Integer>> known = new ArrayList<>();
        private final List<SlidingWindowRetryBudget> budgets = new ArrayList<>();
        private int refused;

        private Replay(Rule rule) {
            this.rule = rule;
            for (int router = 0; router < ROUTERS; router++) {
                known.add(new HashSet<>());
                budgets.add(SlidingWindowRetryBudget.create(BUDGET, 0));
            }
        }

        private void run(double lagSeconds) {
            int usual = 5 * REQUESTS_PER_SECOND;
            int requests = usual + (int) (lagSeconds * REQUESTS_PER_SECOND);
            for (int request = 0; request < requests; request++) {
                int router = random.nextInt(ROUTERS);
                long now = (long) (request * NANOS_PER_SECOND / REQUESTS_PER_SECOND);
                budgets.get(router).recordFirstAttempt(now);
                if (request >= usual && !isServed(router, now)) {
                    refused++;
                }
            }
        }

        private boolean isServed(int router, long now) {
            AttemptHistory history = AttemptHistory.of(RetryPolicy.ONCE);
            for (int tried = 1; ; tried++) {
                int upstream = choose(known.get(router));
                if (upstream >= REPLACED) {
                    return true;
                }
                known.get(router).add(upstream);
                history = history.withSend().withEnd(Ran.NO);
                boolean isAllowed = history.maySend() && rule.allowsAnother(tried, history);
                if (!isAllowed || !budgets.get(router).tryRetry(now)) {
                    return false;
                }
            }
        }

        private int choose(Set<Integer> skipped) {
            int upstream = random.nextInt(UPSTREAMS);
            while (skipped.contains(upstream)) {
                upstream = random.nextInt(UPSTREAMS);
            }
            return upstream;
        }
    }
}
