package org.baobabcart.router.cascade;

import java.time.Duration;

/**
 * Whether the rating service answers. Immutable.
 *
 * <p>After a few answers in a row without a rating it is taken as away; then one request in each interval tries again.
 *
 * @param misses how many answers in a row got no rating
 * @param nextTrialNanos when the next request tries again, by the timer service's monotonic time
 */
record RatingCircuitBreaker(int misses, long nextTrialNanos) {
    private static final int MISSES_UNTIL_AWAY = 3;
    private static final Duration TRIAL_INTERVAL = Duration.ofSeconds(5);
    private static final RatingCircuitBreaker GOOD = new RatingCircuitBreaker(0, 0);

    static RatingCircuitBreaker good() {
        return GOOD;
    }

    /** Whether a request that starts now may count on a rating. */
    boolean isAvailable(long nowNanos) {
        return misses < MISSES_UNTIL_AWAY || nowNanos - nextTrialNanos >= 0;
    }

    /** The health after a request has started: while away, the next trial is an interval later. */
    RatingCircuitBreaker started(long nowNanos) {
        boolean trial = misses >= MISSES_UNTIL_AWAY && nowNanos - nextTrialNanos >= 0;
        return trial ? new RatingCircuitBreaker(misses, nowNanos + TRIAL_INTERVAL.toNanos()) : this;
    }

    /** The health after an answer was to be rated. */
    RatingCircuitBreaker after(boolean rated, long nowNanos) {
        if (rated) {
            return GOOD;
        }
        boolean newlyAway = misses + 1 == MISSES_UNTIL_AWAY;
        return new RatingCircuitBreaker(misses + 1, newlyAway ? nowNanos + TRIAL_INTERVAL.toNanos() : nextTrialNanos);
    }
}
