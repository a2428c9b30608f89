package org.baobabcart.integration.support;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions with a generous bound. */
public final class Await {
    private static final Duration BOUND = Duration.ofSeconds(60);
    private static final Duration PERIOD = Duration.ofMillis(50);

    private Await() {}

    /** Lets a fault last for a time. */
    public static void lasting(Duration fault) {
        long end = System.nanoTime() + fault.toNanos();
        until("the fault is over", () -> System.nanoTime() - end >= 0);
    }

    public static void until(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + BOUND.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end >= 0) {
                throw new AssertionError("did not come about: " + what);
            }
            LockSupport.parkNanos(PERIOD.toNanos());
        }
    }
}
