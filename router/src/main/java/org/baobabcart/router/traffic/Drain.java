package org.baobabcart.router.traffic;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts running requests and tells whether the process is draining. Thread-safe. */
final class Drain {
    private final AtomicBoolean draining = new AtomicBoolean();
    private final AtomicInteger running = new AtomicInteger();

    void begin() {
        draining.set(true);
    }

    boolean isDraining() {
        return draining.get();
    }

    void requestBegan() {
        running.incrementAndGet();
    }

    void requestEnded() {
        running.decrementAndGet();
    }

    int running() {
        return running.get();
    }
}
