package org.baobabcart.router.cascade;

import java.util.OptionalDouble;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.DoubleSupplier;
import org.baobabcart.policy.cascade.CascadeDecision;
import org.baobabcart.policy.cascade.CascadeKnowledge;
import org.baobabcart.policy.cascade.CascadePlan;
import org.baobabcart.policy.cascade.CascadePolicy;
import org.baobabcart.policy.cascade.CascadeSettings;
import org.baobabcart.router.control.TimerService;

/**
 * Chooses the steps of cascades for requests and learns from their ratings. Thread-safe and never blocking; each router
 * learns for itself.
 */
public final class CascadeChooser {
    private final CascadePolicy policy;
    private final TimerService timers;
    private final DoubleSupplier random;
    private final AtomicReference<CascadeKnowledge> knowledge;
    private final AtomicReference<RatingHealth> health = new AtomicReference<>(RatingHealth.good());

    private CascadeChooser(CascadeSettings settings, TimerService timers, DoubleSupplier random) {
        this.policy = CascadePolicy.of(settings);
        this.timers = timers;
        this.random = random;
        this.knowledge = new AtomicReference<>(CascadeKnowledge.empty(settings));
    }

    /** A chooser that knows nothing yet. */
    public static CascadeChooser create(CascadeSettings settings, TimerService timers) {
        return create(settings, timers, () -> ThreadLocalRandom.current().nextDouble());
    }

    /** A chooser with its own source of numbers from 0 inclusive to 1 exclusive, which must be thread-safe. */
    static CascadeChooser create(CascadeSettings settings, TimerService timers, DoubleSupplier random) {
        return new CascadeChooser(settings, timers, random);
    }

    /** The index of the step that a request of this kind starts at. */
    public int firstStep(CascadePlan plan, String kind) {
        long now = timers.nanoTime();
        boolean available = health.getAndUpdate(before -> before.started(now)).isAvailable(now);
        return policy.firstStep(plan, kind, knowledge.get(), available, random.getAsDouble());
    }

    /** Whether an answer of this step is only passed on after a rating. */
    public boolean needsRating(CascadePlan plan, int step) {
        return step < plan.last();
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
        long now = timers.nanoTime();
        health.updateAndGet(before -> before.after(rating.isPresent(), now));
        CascadeKnowledge before = knowledge.get();
        if (rating.isPresent()) {
            boolean passed = rating.getAsDouble() >= plan.qualityTarget();
            String reference = plan.steps().get(step).reference();
            knowledge.updateAndGet(known -> known.withAnswer(kind, reference, escalated, passed));
        }
        return policy.afterAnswer(plan, kind, before, step, rating);
    }
}
