package org.baobabcart.router.control;

import java.time.Duration;

/**
 * The only source of time in a process: components use it instead of reading clocks or creating timers.
 *
 * <p>Implementations call subscribers on the control thread. Tests use an implementation whose time is advanced
 * manually.
 */
public interface TimerService {
    /** Returns monotonic time in nanoseconds with an arbitrary origin. Thread-safe. */
    long nanoTime();

    /** Returns wall-clock time in milliseconds since the epoch, which is not for timeouts. Thread-safe. */
    long wallClockMillis();

    /** Calls a subscriber periodically, the first time after one period. */
    Subscription every(String name, Duration period, Runnable subscriber);

    /** Calls a subscriber once after a delay. */
    Subscription after(String name, Duration delay, Runnable subscriber);

    /** A subscription that can be cancelled. */
    interface Subscription {
        /** Cancels the subscription; has no effect if it has been cancelled. */
        void cancel();
    }
}
