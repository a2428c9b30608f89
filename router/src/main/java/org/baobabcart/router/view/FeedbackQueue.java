package org.baobabcart.router.view;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.baobabcart.policy.rollout.VersionOutcome;

/**
 * Bounded queue that passes observations from traffic threads to the control thread. Thread-safe and non-blocking: when
 * the queue is full, an observation is dropped and counted.
 */
public final class FeedbackQueue implements TrafficFeedback {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int CAPACITY = 4096;

    private final BlockingQueue<Consumer<FeedbackListener>> queue = new ArrayBlockingQueue<>(CAPACITY);
    private final List<FeedbackListener> listeners = new CopyOnWriteArrayList<>();
    private final AtomicBoolean draining = new AtomicBoolean();
    private final Executor loop;
    private final Counter dropped;

    private FeedbackQueue(Executor loop, MetricRegistry metrics) {
        this.loop = loop;
        this.dropped = metrics.counter("feedback.dropped");
    }

    /** Creates an empty queue that is drained on the given executor. */
    public static FeedbackQueue create(Executor loop, MetricRegistry metrics) {
        return new FeedbackQueue(loop, metrics);
    }

    /** Adds a listener, which is called on the control thread. */
    public void addListener(FeedbackListener listener) {
        listeners.add(listener);
    }

    @Override
    public void unreachable(String upstream) {
        offer(listener -> listener.unreachable(upstream));
    }

    @Override
    public void outcome(String model, String version, VersionOutcome outcome) {
        offer(listener -> listener.outcome(model, version, outcome));
    }

    private void offer(Consumer<FeedbackListener> observation) {
        if (!queue.offer(observation)) {
            dropped.inc();
        }
        if (draining.compareAndSet(false, true)) {
            loop.execute(this::drain);
        }
    }

    private void drain() {
        draining.set(false);
        Consumer<FeedbackListener> observation = queue.poll();
        while (observation != null) {
            for (FeedbackListener listener : listeners) {
                deliver(observation, listener);
            }
            observation = queue.poll();
        }
    }

    /** Delivers an observation; the failure of one listener does not affect the others. */
    private static void deliver(Consumer<FeedbackListener> observation, FeedbackListener listener) {
        try {
            observation.accept(listener);
        } catch (RuntimeException exception) {
            LOGGER.atSevere().withCause(exception).log("event=feedback_failed");
        }
    }
}
