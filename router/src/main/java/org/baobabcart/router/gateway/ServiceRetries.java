package org.baobabcart.router.gateway;

import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.baobabcart.policy.retry.WindowBudget;
import org.baobabcart.router.metrics.LabelledMetrics;

/** Holds one retry budget per service, shared by all event loops of this router. Thread-safe. */
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

    /** Applies new settings to the budgets of all services. */
    void apply(WindowBudget.Settings newSettings) {
        settings = newSettings;
        budgets.values().forEach(budget -> {
            synchronized (budget) {
                budget.use(newSettings, System.nanoTime());
            }
        });
    }

    /** Counts the first attempt of a request, from which the budget is derived. */
    void countRequest(String service) {
        WindowBudget budget = budget(service);
        synchronized (budget) {
            budget.firstTry(System.nanoTime());
        }
    }

    /** Takes one retry from the budget; returns false if the budget is exhausted. */
    boolean tryTakeRetry(String service) {
        WindowBudget budget = budget(service);
        synchronized (budget) {
            return budget.tryRepeat(System.nanoTime());
        }
    }

    /** Returns whether a retry is available, without taking it. */
    boolean hasRetryLeft(String service) {
        return remaining(budget(service)) >= 1;
    }

    private WindowBudget budget(String service) {
        return budgets.computeIfAbsent(service, this::create);
    }

    private WindowBudget create(String service) {
        WindowBudget budget = WindowBudget.create(settings, System.nanoTime());
        metrics.gauge("gateway.retries-left", LabelledMetrics.labels("service", service), () -> remaining(budget));
        return budget;
    }

    private static double remaining(WindowBudget budget) {
        synchronized (budget) {
            return budget.left(System.nanoTime());
        }
    }
}
