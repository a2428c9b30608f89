package org.baobabcart.router.timeline;

import java.util.ArrayList;
import java.util.List;
import org.baobabcart.policy.clock.HybridClock;
import org.baobabcart.router.control.TimerService;

/**
 * Keeps the latest events of this node in a ring buffer, with timestamps of a hybrid logical clock. Thread-safe;
 * recording holds the lock for a few instructions only.
 */
public final class RingTimeline implements Timeline {
    /** The number of events that a router keeps. */
    public static final int DEFAULT_CAPACITY = 16_384;

    private static final long MAX_CLOCK_LEAD_MILLIS = 60_000;

    private final String node;
    private final TimerService timers;
    private final TimelineEvent[] ring;
    private HybridClock clock = HybridClock.create();
    private long recorded;

    private RingTimeline(String node, TimerService timers, int capacity) {
        this.node = node;
        this.timers = timers;
        this.ring = new TimelineEvent[capacity];
    }

    /** Creates an empty time line of one node. */
    public static RingTimeline create(String node, TimerService timers, int capacity) {
        return new RingTimeline(node, timers, capacity);
    }

    @Override
    public synchronized void record(EventType type, String requestId, EventFields fields) {
        long wallClockMillis = timers.wallClockMillis();
        clock = clock.tick(wallClockMillis);
        ring[(int) (recorded % ring.length)] =
                new TimelineEvent(clock.timestamp(), wallClockMillis, node, type, requestId, fields);
        recorded++;
    }

    /** Advances the clock and returns the timestamp to send with a message. */
    public synchronized long send() {
        clock = clock.tick(timers.wallClockMillis());
        return clock.timestamp();
    }

    /**
     * Advances the clock past the timestamp of a received message, unless it is more than 60 s ahead of the wall
     * clock.
     */
    public synchronized void receive(long timestamp) {
        clock = clock.receive(timestamp, timers.wallClockMillis(), MAX_CLOCK_LEAD_MILLIS);
    }

    /** Returns the events that match a query, the oldest first. */
    public List<TimelineEvent> events(TimelineQuery query) {
        List<TimelineEvent> events = snapshot();
        return events.stream().filter(query::matches).toList();
    }

    private synchronized List<TimelineEvent> snapshot() {
        List<TimelineEvent> events = new ArrayList<>();
        for (long index = Math.max(0, recorded - ring.length); index < recorded; index++) {
            events.add(ring[(int) (index % ring.length)]);
        }
        return events;
    }
}
