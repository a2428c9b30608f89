package org.baobabcart.router.exchange;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts running requests and tells whether the process is draining. Thread-safe. */
public final class DrainState {
    private final AtomicBoolean draining = new AtomicBoolean();
    private final AtomicInteger running = new AtomicInteger();

    /** Begins the planned stop. */
    public void begin() {
        draining.set(true);
    }

    /** Whether the planned stop has begun. */
    public boolean isDraining() {
        return draining.get();
    }

    /** A request began. */
    public void requestBegan() {
        running.incrementAndGet();
    }

    /** A request ended. */
    public void requestEnded() {
        running.decrementAndGet();
    }

    /** The number of running requests. */
    public int running() {
        return running.get();
    }
}
