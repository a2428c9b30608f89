package org.baobabcart.router.control;

import java.time.Duration;
import java.util.concurrent.Future;

/** A timer service based on the system clock; calls subscribers on the control thread. Thread-safe. */
public final class SystemTimerService implements TimerService {
    private final ControlLoop loop;

    private SystemTimerService(ControlLoop loop) {
        this.loop = loop;
    }

    /** Creates a timer service that calls its subscribers on the given loop. */
    public static SystemTimerService on(ControlLoop loop) {
        return new SystemTimerService(loop);
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public long wallClockMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public Subscription every(String name, Duration period, Runnable subscriber) {
        return subscription(loop.scheduleEvery(period, subscriber));
    }

    @Override
    public Subscription after(String name, Duration delay, Runnable subscriber) {
        return subscription(loop.scheduleAfter(delay, subscriber));
    }

    private static Subscription subscription(Future<?> scheduled) {
        return () -> scheduled.cancel(false);
    }
}
