package org.baobabcart.integration.support;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions with a generous timeout. */
public final class Await {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    private Await() {}

    /** Waits for a duration, such as that of a fault. */
    public static void elapsed(Duration duration) {
        long end = System.nanoTime() + duration.toNanos();
        until("the duration has elapsed", () -> System.nanoTime() - end >= 0);
    }

    /** Waits until a condition is true; fails with its description after the timeout. */
    public static void until(String description, BooleanSupplier condition) {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end >= 0) {
                throw new AssertionError("timed out waiting until " + description);
            }
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
    }
}
