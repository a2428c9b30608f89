package org.baobabcart.router.cascade;

import java.time.Duration;

/**
 * State of a circuit breaker for the rating service. Immutable.
 *
 * <p>The circuit opens after three consecutive responses without a rating; then one request per interval tries the service again.
 *
 * @param missedRatings the number of consecutive responses without a rating
 * @param nextTrialNanos the time of the next trial request while open, by the timer service's monotonic time
 */
record RatingCircuitBreaker(int missedRatings, long nextTrialNanos) {
    private static final int OPEN_AFTER_MISSES = 3;
    private static final Duration TRIAL_INTERVAL = Duration.ofSeconds(5);
    private static final RatingCircuitBreaker CLOSED = new RatingCircuitBreaker(0, 0);

    static RatingCircuitBreaker closed() {
        return CLOSED;
    }

    /** Returns whether a request that starts now can expect a rating. */
    boolean isAvailable(long nowNanos) {
        return missedRatings < OPEN_AFTER_MISSES || nowNanos - nextTrialNanos >= 0;
    }

    /** Returns the state after the start of a request; a trial request moves the next trial by one interval. */
    RatingCircuitBreaker afterStart(long nowNanos) {
        boolean isTrial = missedRatings >= OPEN_AFTER_MISSES && nowNanos - nextTrialNanos >= 0;
        return isTrial ? new RatingCircuitBreaker(missedRatings, nowNanos + TRIAL_INTERVAL.toNanos()) : this;
    }

    /** Returns the state after the rating service was asked for a rating. */
    RatingCircuitBreaker afterRating(boolean hasRating, long nowNanos) {
        if (hasRating) {
            return CLOSED;
        }
        boolean opens = missedRatings + 1 == OPEN_AFTER_MISSES;
        return new RatingCircuitBreaker(
                missedRatings + 1, opens ? nowNanos + TRIAL_INTERVAL.toNanos() : nextTrialNanos);
    }
}
