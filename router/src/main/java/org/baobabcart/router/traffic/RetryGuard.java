package org.baobabcart.router.traffic;

import org.baobabcart.model.result.Ran;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.policy.retry.RetryBudget;

/** A retry budget that is shared by all event loops. Thread-safe. */
final class RetryGuard {
    private final int attemptsLimit;
    private final RetryBudget budget;

    private RetryGuard(int attemptsLimit, RetryBudget budget) {
        this.attemptsLimit = attemptsLimit;
        this.budget = budget;
    }

    static RetryGuard create(int attemptsLimit) {
        return new RetryGuard(attemptsLimit, RetryBudget.create(RetryBudget.Settings.defaults(), System.nanoTime()));
    }

    synchronized void firstTry() {
        budget.firstTry(System.nanoTime());
    }

    /** Returns whether a failed attempt may be retried. A retry is free if the failed attempt did certainly not run. */
    synchronized boolean mayRetry(FailureKind kind, boolean repeatable, int attempts) {
        if (!kind.retryable(repeatable) || attempts >= attemptsLimit) {
            return false;
        }
        return kind.ran() == Ran.NO || budget.tryRetry(System.nanoTime());
    }
}
