package org.baobabcart.router.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.baobabcart.policy.retry.WindowBudget;

/** A retry budget for each service, shared by all event loops of this router. Thread-safe. */
final class ServiceRetries {
    private final WindowBudget.Settings settings;
    private final Map<String, WindowBudget> budgets = new ConcurrentHashMap<>();

    private ServiceRetries(WindowBudget.Settings settings) {
        this.settings = settings;
    }

    static ServiceRetries create(WindowBudget.Settings settings) {
        return new ServiceRetries(settings);
    }

    /** Counts the first attempt of a request. */
    void firstTry(String service) {
        WindowBudget budget = budget(service);
        synchronized (budget) {
            budget.firstTry(System.nanoTime());
        }
    }

    /** Takes the right to one more attempt; false where the budget is spent. */
    boolean tryRetry(String service) {
        WindowBudget budget = budget(service);
        synchronized (budget) {
            return budget.tryRepeat(System.nanoTime());
        }
    }

    private WindowBudget budget(String service) {
        return budgets.computeIfAbsent(service, ignored -> WindowBudget.create(settings, System.nanoTime()));
    }
}
