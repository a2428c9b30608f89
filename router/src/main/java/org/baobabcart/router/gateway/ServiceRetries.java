package org.baobabcart.router.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.baobabcart.policy.retry.RetryBudget;

/** A retry budget for each service, shared by all event loops of this router. Thread-safe. */
final class ServiceRetries {
    private final RetryBudget.Settings settings;
    private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();

    private ServiceRetries(RetryBudget.Settings settings) {
        this.settings = settings;
    }

    static ServiceRetries create(RetryBudget.Settings settings) {
        return new ServiceRetries(settings);
    }

    /** Counts the first attempt of a request. */
    void firstTry(String service) {
        RetryBudget budget = budget(service);
        synchronized (budget) {
            budget.firstTry(System.nanoTime());
        }
    }

    /** Takes the right to one more attempt; false where the budget is spent. */
    boolean tryRetry(String service) {
        RetryBudget budget = budget(service);
        synchronized (budget) {
            return budget.tryRetry(System.nanoTime());
        }
    }

    private RetryBudget budget(String service) {
        return budgets.computeIfAbsent(service, ignored -> RetryBudget.create(settings, System.nanoTime()));
    }
}
