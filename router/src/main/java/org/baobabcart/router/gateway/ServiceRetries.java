package org.baobabcart.router.gateway;

import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.baobabcart.policy.retry.WindowBudget;
import org.baobabcart.router.metrics.LabelledMetrics;

/** A retry budget for each service, shared by all event loops of this router. Thread-safe. */
final class ServiceRetries {
    private volatile WindowBudget.Settings settings;
    private final LabelledMetrics metrics;
    private final Map<String, WindowBudget> budgets = new ConcurrentHashMap<>();

    private ServiceRetries(WindowBudget.Settings settings, MetricRegistry metrics) {
        this.settings = settings;
        this.metrics = LabelledMetrics.in(metrics);
    }

    static ServiceRetries create(WindowBudget.Settings settings, MetricRegistry metrics) {
        return new ServiceRetries(settings, metrics);
    }

    /** Takes other settings over for all services. */
    void use(WindowBudget.Settings newSettings) {
        settings = newSettings;
        budgets.values().forEach(budget -> {
            synchronized (budget) {
                budget.updateSettings(newSettings, System.nanoTime());
            }
        });
    }

    /** Counts the first attempt of a request. */
    void firstTry(String service) {
        WindowBudget budget = budget(service);
        synchronized (budget) {
            budget.recordFirstAttempt(System.nanoTime());
        }
    }

    /** Takes the right to one more attempt; false where the budget is spent. */
    boolean tryRetry(String service) {
        WindowBudget budget = budget(service);
        synchronized (budget) {
            return budget.tryRetry(System.nanoTime());
        }
    }

    /** Whether the budget has room for one more attempt, which this does not take. */
    boolean hasLeft(String service) {
        return left(budget(service)) >= 1;
    }

    private WindowBudget budget(String service) {
        return budgets.computeIfAbsent(service, this::create);
    }

    private WindowBudget create(String service) {
        WindowBudget budget = WindowBudget.create(settings, System.nanoTime());
        metrics.gauge("gateway.retries-left", LabelledMetrics.labels("service", service), () -> left(budget));
        return budget;
    }

    private static double left(WindowBudget budget) {
        synchronized (budget) {
            return budget.availableRetries(System.nanoTime());
        }
    }
}
