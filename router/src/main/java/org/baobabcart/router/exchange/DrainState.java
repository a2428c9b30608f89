package org.baobabcart.router.exchange;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Tracks the number of running requests, whether the process is draining, and until when requests may run then. Thread-safe. */
public final class DrainState {
    private final AtomicBoolean draining = new AtomicBoolean();
    private final AtomicInteger running = new AtomicInteger();
    private volatile OptionalLong endNanos = OptionalLong.empty();

    /** Starts draining, at the beginning of a planned stop. */
    public void begin() {
        draining.set(true);
    }

    /** Returns whether draining has started. */
    public boolean isDraining() {
        return draining.get();
    }

    /** Sets the time by which all requests have to end; from now on, no request may begin to run that could take longer. */
    public void endBy(long nanos) {
        endNanos = OptionalLong.of(nanos);
    }

    /** Returns whether a request with this deadline may begin to run. */
    public boolean mayBegin(long deadlineNanos) {
        OptionalLong end = endNanos;
        return end.isEmpty() || end.getAsLong() - deadlineNanos >= 0;
    }

    /** Counts a request that has started. */
    public void requestBegan() {
        running.incrementAndGet();
    }

    /** Removes a request that has ended from the count. */
    public void requestEnded() {
        running.decrementAndGet();
    }

    /** Returns the number of running requests. */
    public int running() {
        return running.get();
    }
}
