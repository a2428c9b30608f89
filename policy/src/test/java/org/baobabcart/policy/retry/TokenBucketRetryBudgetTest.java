package org.baobabcart.policy.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.baobabcart.model.result.Ran;

class TokenBucketRetryBudgetTest {
    private static final long TENTH_OF_A_SECOND = 100_000_000L;

    @Property(tries = 500, seed = "7501")
    void retriesStayWithinTheShareOfFirstAttempts(@ForAll List<@IntRange(max = 3) Integer> events) {
        TokenBucketRetryBudget.Settings settings = TokenBucketRetryBudget.Settings.defaults();
        TokenBucketRetryBudget budget = TokenBucketRetryBudget.create(settings, 0);
        long now = 0;
        int firstAttempts = 0;
        int retries = 0;
        for (int event : events) {
            if (event == 0) {
                budget.recordFirstAttempt(now);
                firstAttempts++;
            } else if (event == 1) {
                now += TENTH_OF_A_SECOND;
            } else if (budget.tryRetry(now)) {
                retries++;
            }
            double allowed = settings.perSecond() + settings.share() * firstAttempts + now / 1e9 * settings.perSecond();
            assertThat((double) retries, lessThanOrEqualTo(allowed + 1e-6));
        }
    }

    @Example
    void nonRepeatableCallsAreRetriedOnlyIfTheyDidNotRun() {
        for (FailureKind kind : FailureKind.values()) {
            assertThat(kind.name(), kind.retryable(false), is(kind.ran() == Ran.NO));
        }
    }
}
