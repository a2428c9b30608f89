package org.baobabcart.router.testing;

import java.time.Duration;
import org.baobabcart.router.control.TimerService;

/** The timers of one node. While paused, subscribers are not called. */
public final class PausableTimers implements TimerService {
    private final TimerService timers;
    private boolean paused;

    public PausableTimers(TimerService timers) {
        this.timers = timers;
    }

    public void setPaused(boolean nowPaused) {
        paused = nowPaused;
    }

    @Override
    public long nanoTime() {
        return timers.nanoTime();
    }

    @Override
    public long wallClockMillis() {
        return timers.wallClockMillis();
    }

    @Override
    public Subscription every(String name, Duration period, Runnable subscriber) {
        return timers.every(name, period, unlessPaused(subscriber));
    }

    @Override
    public Subscription after(String name, Duration delay, Runnable subscriber) {
        return timers.after(name, delay, unlessPaused(subscriber));
    }

    private Runnable unlessPaused(Runnable subscriber) {
        return () -> {
            if (!paused) {
                subscriber.run();
            }
        };
    }
}
