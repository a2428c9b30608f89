package org.baobabcart.router.traffic;

import org.baobabcart.model.result.Ran;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.policy.retry.RetryBudget;

/** Shares one retry budget among all event loops. Thread-safe. */
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
        budget.recordFirstAttempt(System.nanoTime());
    }

    /** Whether another attempt may follow one that failed; an attempt that surely did not run costs no budget. */
    synchronized boolean mayRetry(FailureKind kind, boolean repeatable, int attempts) {
        if (!kind.retryable(repeatable) || attempts >= attemptsLimit) {
            return false;
        }
        return kind.ran() == Ran.NO || budget.tryRetry(System.nanoTime());
    }
}
