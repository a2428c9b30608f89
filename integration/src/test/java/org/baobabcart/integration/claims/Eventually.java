package org.baobabcart.integration.claims;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions, with a bound that a working system stays far below. */
final class Eventually {
    private static final Duration BOUND = Duration.ofSeconds(60);
    private static final Duration POLL = Duration.ofMillis(50);

    private Eventually() {}

    static void holds(String description, BooleanSupplier condition) {
        long deadline = System.nanoTime() + BOUND.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                throw new AssertionError("not within " + BOUND + ": " + description);
            }
            LockSupport.parkNanos(POLL.toNanos());
        }
    }

    /** Lets a fault last for a time. */
    static void lasts(Duration fault) {
        long end = System.nanoTime() + fault.toNanos();
        holds("the fault is over", () -> System.nanoTime() - end >= 0);
    }
}
