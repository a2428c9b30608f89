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
 * Chooses the cascade steps of requests and learns from the ratings of their responses. Thread-safe and non-blocking. Each router
 * learns independently.
 */
public final class CascadeChooser {
    private final CascadePolicy policy;
    private final LongSupplier nanoTime;
    private final DoubleSupplier random;
    private final AtomicReference<CascadeStatistics> statistics;
    private final AtomicReference<RatingCircuitBreaker> circuitBreaker =
            new AtomicReference<>(RatingCircuitBreaker.closed());

    private CascadeChooser(CascadeSettings settings, LongSupplier nanoTime, DoubleSupplier random) {
        this.policy = CascadePolicy.of(settings);
        this.nanoTime = nanoTime;
        this.random = random;
        this.statistics = new AtomicReference<>(CascadeStatistics.empty(settings));
    }

    /** Creates a chooser without ratings; the thread-safe supplier returns monotonic time in nanoseconds. */
    public static CascadeChooser create(CascadeSettings settings, LongSupplier nanoTime) {
        return create(settings, nanoTime, () -> ThreadLocalRandom.current().nextDouble());
    }

    /** Creates a chooser with a thread-safe source of random numbers from 0 (inclusive) to 1 (exclusive). */
    static CascadeChooser create(CascadeSettings settings, LongSupplier nanoTime, DoubleSupplier random) {
        return new CascadeChooser(settings, nanoTime, random);
    }

    /** Returns the index of the step at which a request of this class starts. */
    public int firstStep(CascadePlan plan, String requestClass) {
        long now = nanoTime.getAsLong();
        boolean ratingAvailable =
                circuitBreaker.getAndUpdate(before -> before.afterStart(now)).isAvailable(now);
        return policy.firstStep(plan, requestClass, statistics.get(), ratingAvailable, random.getAsDouble());
    }

    /**
     * Records the rating of a response and decides whether to accept it or escalate.
     *
     * @param plan the cascade
     * @param requestClass the class of the request
     * @param step the index of the step that responded
     * @param escalated whether an earlier step had already responded to the same request
     * @param rating the rating; empty if the rating service returned none
     */
    public CascadeDecision afterAnswer(
            CascadePlan plan, String requestClass, int step, boolean escalated, OptionalDouble rating) {
        long now = nanoTime.getAsLong();
        circuitBreaker.updateAndGet(before -> before.afterRating(rating.isPresent(), now));
        CascadeStatistics before = statistics.get();
        if (rating.isPresent()) {
            boolean passed = rating.getAsDouble() >= plan.qualityTarget();
            String reference = plan.steps().get(step).reference();
            statistics.updateAndGet(current -> current.withAnswer(requestClass, reference, escalated, passed));
        }
        return policy.afterAnswer(plan, requestClass, before, step, rating);
    }
}
