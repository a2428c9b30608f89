package org.baobabcart.policy.clock;

/**
 * A hybrid logical clock. Immutable.
 *
 * <p>The method is that of Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical Clocks and Consistent
 * Snapshots in Globally Distributed Databases" (2014), with both parts packed into one number: the upper 48 bits are
 * the wall clock in milliseconds, the lower 16 bits a counter. An event always has a greater timestamp than the events
 * that caused it. Received timestamps are accepted only up to a bound ahead of the wall clock, so that a node with a
 * wrong clock can't advance the clocks of others.
 *
 * @param timestamp the last timestamp
 */
public record HybridClock(long timestamp) implements Comparable<HybridClock> {
    private static final int COUNTER_BITS = 16;

    /** Returns a clock without events. */
    public static HybridClock create() {
        return new HybridClock(0);
    }

    /** Returns the clock after a local event. */
    public HybridClock tick(long wallClockMillis) {
        return new HybridClock(Math.max(timestamp + 1, pack(wallClockMillis)));
    }

    /**
     * Returns the clock after a message was received.
     *
     * @param received the timestamp of the message
     * @param maximumLeadMillis how far ahead of the local wall clock a timestamp may be to be accepted
     */
    public HybridClock receive(long received, long wallClockMillis, long maximumLeadMillis) {
        boolean plausible = received <= pack(wallClockMillis + maximumLeadMillis);
        long latest = plausible ? Math.max(timestamp, received) : timestamp;
        return new HybridClock(latest).tick(wallClockMillis);
    }

    /** Returns the wall clock part, in milliseconds since the epoch. */
    public long millis() {
        return timestamp >> COUNTER_BITS;
    }

    @Override
    public int compareTo(HybridClock other) {
        return Long.compare(timestamp, other.timestamp);
    }

    private static long pack(long wallClockMillis) {
        return wallClockMillis << COUNTER_BITS;
    }
}
