package org.baobabcart.policy.limit;

import java.time.Duration;

/**
 * Spaces requests evenly: a window of any length contains at most one request more than the rate allows. Immutable.
 *
 * @param perSecond the rate, greater than zero
 * @param lastNanos the time of the last request
 */
public record RequestPace(double perSecond, long lastNanos) {
    /**
     * The lowest rate that is kept, in requests a second. A lower limit could not be found to have ended, since only a response tells that.
     */
    private static final double MIN_PER_SECOND = 0.2;

    /** Creates a pace whose first request is due one interval after the given time. */
    public static RequestPace startingAfter(double perSecond, long nanos) {
        return new RequestPace(Math.max(MIN_PER_SECOND, perSecond), nanos);
    }

    /** Returns the time of the next request. */
    public long nextNanos() {
        return lastNanos + (long) (Duration.ofSeconds(1).toNanos() / perSecond);
    }

    /** Returns whether a request may be sent at the given time. */
    public boolean allows(long nowNanos) {
        return nowNanos - nextNanos() >= 0;
    }

    /** Returns the pace after a request at the given time. */
    public RequestPace afterRequest(long nowNanos) {
        return new RequestPace(perSecond, nowNanos);
    }

    /** Returns a copy with another rate and the same last request. */
    public RequestPace withRate(double newPerSecond) {
        return startingAfter(newPerSecond, lastNanos);
    }
}
