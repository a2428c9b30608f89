package org.baobabcart.router.control;

import java.time.Duration;

/**
 * The one source of time for a process: parts subscribe to it instead of reading clocks or making timers.
 *
 * <p>Implementations call subscribers on the control thread. Tests use one that is driven by hand.
 */
public interface TimerService {
    /** Monotonic time in nanoseconds with an arbitrary origin. Any thread may call this. */
    long nanoTime();

    /** Wall-clock time in milliseconds since the epoch, for people only. Any thread may call this. */
    long wallClockMillis();

    /** Calls a subscriber again and again, the first time after one period. */
    Subscription every(String name, Duration period, Runnable subscriber);

    /** Calls a subscriber once after a delay. */
    Subscription after(String name, Duration delay, Runnable subscriber);

    /** A subscription that can be ended. */
    interface Subscription {
        /** Ends the subscription; ending it twice does no harm. */
        void cancel();
    }
}
