package org.baobabcart.router.traffic;

import org.baobabcart.model.result.Ran;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.policy.retry.TokenBucketRetryBudget;

/** A retry budget that is shared by all event loops. Thread-safe. */
final class SharedRetryBudget {
    private final int attemptsLimit;
    private final TokenBucketRetryBudget budget;

    private SharedRetryBudget(int attemptsLimit, TokenBucketRetryBudget budget) {
        this.attemptsLimit = attemptsLimit;
        this.budget = budget;
    }

    static SharedRetryBudget create(int attemptsLimit) {
        return new SharedRetryBudget(
                attemptsLimit,
                TokenBucketRetryBudget.create(TokenBucketRetryBudget.Settings.defaults(), System.nanoTime()));
    }

    synchronized void recordFirstAttempt() {
        budget.recordFirstAttempt(System.nanoTime());
    }

    /** Returns whether a failed attempt may be retried. A retry is free if the failed attempt did certainly not run. */
    synchronized boolean mayRetry(FailureKind kind, boolean repeatable, int attempts) {
        if (!kind.retryable(repeatable) || attempts >= attemptsLimit) {
            return false;
        }
        return kind.ran() == Ran.NO || budget.tryRetry(System.nanoTime());
    }
}
