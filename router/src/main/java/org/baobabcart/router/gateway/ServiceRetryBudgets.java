package org.baobabcart.router.gateway;

import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.baobabcart.policy.retry.SlidingWindowRetryBudget;
import org.baobabcart.router.metrics.LabelledMetrics;

/** Holds one retry budget per service, shared by all event loops of this router. Thread-safe. */
final class ServiceRetryBudgets {
    private volatile SlidingWindowRetryBudget.Settings settings;
    private final LabelledMetrics metrics;
    private final Map<String, SlidingWindowRetryBudget> budgets = new ConcurrentHashMap<>();

    private ServiceRetryBudgets(SlidingWindowRetryBudget.Settings settings, MetricRegistry metrics) {
        this.settings = settings;
        this.metrics = LabelledMetrics.create(metrics);
    }

    static ServiceRetryBudgets create(SlidingWindowRetryBudget.Settings settings, MetricRegistry metrics) {
        return new ServiceRetryBudgets(settings, metrics);
    }

    /** Applies new settings to the budgets of all services. */
    void apply(SlidingWindowRetryBudget.Settings newSettings) {
        settings = newSettings;
        budgets.values().forEach(budget -> {
            synchronized (budget) {
                budget.updateSettings(newSettings, System.nanoTime());
            }
        });
    }

    /** Counts the first attempt of a request, from which the budget is derived. */
    void countRequest(String service) {
        SlidingWindowRetryBudget budget = budget(service);
        synchronized (budget) {
            budget.recordFirstAttempt(System.nanoTime());
        }
    }

    /** Takes one retry from the budget; returns false if the budget is exhausted. */
    boolean tryTakeRetry(String service) {
        SlidingWindowRetryBudget budget = budget(service);
        synchronized (budget) {
            return budget.tryRetry(System.nanoTime());
        }
    }

    /** Returns whether a retry is available, without taking it. */
    boolean hasRetryLeft(String service) {
        return remaining(budget(service)) >= 1;
    }

    private SlidingWindowRetryBudget budget(String service) {
        return budgets.computeIfAbsent(service, this::create);
    }

    private SlidingWindowRetryBudget create(String service) {
        SlidingWindowRetryBudget budget = SlidingWindowRetryBudget.create(settings, System.nanoTime());
        metrics.gauge("gateway.retries-left", LabelledMetrics.labels("service", service), () -> remaining(budget));
        return budget;
    }

    private static double remaining(SlidingWindowRetryBudget budget) {
        synchronized (budget) {
            return budget.availableRetries(System.nanoTime());
        }
    }
}
