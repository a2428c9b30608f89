package org.baobabcart.router.cascade;

import java.util.OptionalDouble;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.baobabcart.policy.cascade.CascadeDecision;
import org.baobabcart.policy.cascade.CascadePlan;
import org.baobabcart.policy.cascade.CascadePolicy;
import org.baobabcart.policy.cascade.CascadeSettings;
import org.baobabcart.policy.cascade.CascadeStatistics;

/**
 * Chooses the steps of cascades for requests and learns from their ratings. Thread-safe and never blocking; each router
 * learns for itself.
 */
public final class CascadeChooser {
    private final CascadePolicy policy;
    private final LongSupplier nanoTime;
    private final DoubleSupplier random;
    private final AtomicReference<CascadeStatistics> knowledge;
    private final AtomicReference<RatingCircuitBreaker> health = new AtomicReference<>(RatingCircuitBreaker.good());

    private CascadeChooser(CascadeSettings settings, LongSupplier nanoTime, DoubleSupplier random) {
        this.policy = CascadePolicy.of(settings);
        this.nanoTime = nanoTime;
        this.random = random;
        this.knowledge = new AtomicReference<>(CascadeStatistics.empty(settings));
    }

    /** A chooser that knows nothing yet; the supplier gives monotonic time in nanoseconds and is thread-safe. */
    public static CascadeChooser create(CascadeSettings settings, LongSupplier nanoTime) {
        return create(settings, nanoTime, () -> ThreadLocalRandom.current().nextDouble());
    }

    /** A chooser with its own source of numbers from 0 inclusive to 1 exclusive, which must be thread-safe. */
    static CascadeChooser create(CascadeSettings settings, LongSupplier nanoTime, DoubleSupplier random) {
        return new CascadeChooser(settings, nanoTime, random);
    }

    /** The index of the step that a request of this kind starts at. */
    public int firstStep(CascadePlan plan, String kind) {
        long now = nanoTime.getAsLong();
        boolean available = health.getAndUpdate(before -> before.started(now)).isAvailable(now);
        return policy.firstStep(plan, kind, knowledge.get(), available, random.getAsDouble());
    }
    /**
     * What follows an answer that was to be rated.
     *
     * @param plan the cascade
     * @param kind the kind of work
     * @param step the index of the step that answered
     * @param escalated whether an earlier step had answered the same request
     * @param rating the rating, empty where the service gave none
     */
    public CascadeDecision afterAnswer(
            CascadePlan plan, String kind, int step, boolean escalated, OptionalDouble rating) {
        long now = nanoTime.getAsLong();
        health.updateAndGet(before -> before.after(rating.isPresent(), now));
        CascadeStatistics before = knowledge.get();
        if (rating.isPresent()) {
            boolean passed = rating.getAsDouble() >= plan.qualityTarget();
            String reference = plan.steps().get(step).reference();
            knowledge.updateAndGet(known -> known.withAnswer(kind, reference, escalated, passed));
        }
        return policy.afterAnswer(plan, kind, before, step, rating);
    }
}
