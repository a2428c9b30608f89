package org.baobabcart.router.exchange;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Tracks the number of running requests and whether the process is draining. Thread-safe. */
public final class DrainState {
    private final AtomicBoolean draining = new AtomicBoolean();
    private final AtomicInteger running = new AtomicInteger();

    /** Starts draining, at the beginning of a planned stop. */
    public void begin() {
        draining.set(true);
    }

    /** Returns whether draining has started. */
    public boolean isDraining() {
        return draining.get();
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
