package org.baobabcart.policy.clock;

/**
 * A hybrid logical clock. Immutable.
 *
 * <p>The method is that of Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical Physical Clocks and Consistent
 * Snapshots in Globally Distributed Databases" (2014), with both parts packed into one number: the upper 48 bits hold
 * the wall clock's milliseconds, the lower 16 a counter. An event that another one caused always has the greater
 * reading; a reading stays within the bound of the wall clock, so that a node with a wrong clock cannot drag others
 * along.
 *
 * @param reading the last reading
 */
public record HybridClock(long reading) implements Comparable<HybridClock> {
    private static final int COUNTER_BITS = 16;

    /** A clock that has read nothing yet. */
    public static HybridClock start() {
        return new HybridClock(0);
    }

    /** The clock after an event of its own node. */
    public HybridClock tick(long wallClockMillis) {
        return new HybridClock(Math.max(reading + 1, pack(wallClockMillis)));
    }

    /**
     * The clock after a message has come in.
     *
     * @param received the reading that came with the message
     * @param greatestLeadMillis how far ahead of the own wall clock a reading may be to be taken over
     */
    public HybridClock receive(long received, long wallClockMillis, long greatestLeadMillis) {
        boolean plausible = received <= pack(wallClockMillis + greatestLeadMillis);
        long seen = plausible ? Math.max(reading, received) : reading;
        return new HybridClock(seen).tick(wallClockMillis);
    }

    /** The wall-clock part, in milliseconds since the epoch. */
    public long millis() {
        return reading >> COUNTER_BITS;
    }

    @Override
    public int compareTo(HybridClock other) {
        return Long.compare(reading, other.reading);
    }

    private static long pack(long wallClockMillis) {
        return wallClockMillis << COUNTER_BITS;
    }
}
