package org.baobabcart.router.gateway;

import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.baobabcart.policy.retry.SlidingWindowRetryBudget;
import org.baobabcart.router.metrics.LabelledMetrics;

/** A retry budget for each service, shared by all event loops of this router. Thread-safe. */
final class ServiceRetryBudgets {
    private volatile SlidingWindowRetryBudget.Settings settings;
    private final LabelledMetrics metrics;
    private final Map<String, SlidingWindowRetryBudget> budgets = new ConcurrentHashMap<>();

    private ServiceRetryBudgets(SlidingWindowRetryBudget.Settings settings, MetricRegistry metrics) {
        this.settings = settings;
        this.metrics = LabelledMetrics.in(metrics);
    }

    static ServiceRetryBudgets create(SlidingWindowRetryBudget.Settings settings, MetricRegistry metrics) {
        return new ServiceRetryBudgets(settings, metrics);
    }

    /** Takes other settings over for all services. */
    void use(SlidingWindowRetryBudget.Settings newSettings) {
        settings = newSettings;
        budgets.values().forEach(budget -> {
            synchronized (budget) {
                budget.use(newSettings, System.nanoTime());
            }
        });
    }

    /** Counts the first attempt of a request. */
    void firstTry(String service) {
        SlidingWindowRetryBudget budget = budget(service);
        synchronized (budget) {
            budget.firstTry(System.nanoTime());
        }
    }

    /** Takes the right to one more attempt; false where the budget is spent. */
    boolean tryRetry(String service) {
        SlidingWindowRetryBudget budget = budget(service);
        synchronized (budget) {
            return budget.tryRepeat(System.nanoTime());
        }
    }

    /** Whether the budget has room for one more attempt, which this does not take. */
    boolean hasLeft(String service) {
        return left(budget(service)) >= 1;
    }

    private SlidingWindowRetryBudget budget(String service) {
        return budgets.computeIfAbsent(service, this::create);
    }

    private SlidingWindowRetryBudget create(String service) {
        SlidingWindowRetryBudget budget = SlidingWindowRetryBudget.create(settings, System.nanoTime());
        metrics.gauge("gateway.retries-left", LabelledMetrics.labels("service", service), () -> left(budget));
        return budget;
    }

    private static double left(SlidingWindowRetryBudget budget) {
        synchronized (budget) {
            return budget.left(System.nanoTime());
        }
    }
}
