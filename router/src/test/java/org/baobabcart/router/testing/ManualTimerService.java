package org.baobabcart.router.testing;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import org.baobabcart.router.control.TimerService;

/** A timer service whose time changes only by {@link #advance}, which calls the subscribers. Thread-safe. */
public final class ManualTimerService implements TimerService {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;

    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparingLong(Entry::dueNanos).thenComparingLong(Entry::order));
    private long nanos;
    private long nextOrder;

    private ManualTimerService() {}

    public static ManualTimerService create() {
        return new ManualTimerService();
    }

    @Override
    public synchronized long nanoTime() {
        return nanos;
    }

    @Override
    public synchronized long wallClockMillis() {
        return nanos / NANOS_PER_MILLISECOND;
    }

    @Override
    public Subscription every(String name, Duration period, Runnable subscriber) {
        return subscribe(period.toNanos(), period.toNanos(), subscriber);
    }

    @Override
    public Subscription after(String name, Duration delay, Runnable subscriber) {
        return subscribe(delay.toNanos(), 0, subscriber);
    }

    /** Advances the time and calls the subscribers that become due, ordered by due time. */
    public void advance(Duration duration) {
        long end = nanoTime() + duration.toNanos();
        Optional<Entry> due = takeDue(end);
        while (due.isPresent()) {
            due.get().subscriber().run();
            due = takeDue(end);
        }
        moveTo(end);
    }

    private synchronized Optional<Entry> takeDue(long end) {
        Entry first = entries.peek();
        if (first == null || first.dueNanos() > end) {
            return Optional.empty();
        }
        entries.poll();
        nanos = Math.max(nanos, first.dueNanos());
        if (first.periodNanos() > 0) {
            entries.add(first.next());
        }
        return Optional.of(first);
    }

    private synchronized void moveTo(long end) {
        nanos = Math.max(nanos, end);
    }

    private synchronized Subscription subscribe(long delayNanos, long periodNanos, Runnable subscriber) {
        long order = nextOrder++;
        entries.add(new Entry(nanos + delayNanos, order, periodNanos, subscriber));
        return () -> cancel(order);
    }

    private synchronized void cancel(long order) {
        entries.removeIf(entry -> entry.order() == order);
    }

    private record Entry(long dueNanos, long order, long periodNanos, Runnable subscriber) {
        Entry next() {
            return new Entry(dueNanos + periodNanos, order, periodNanos, subscriber);
        }
    }
}
