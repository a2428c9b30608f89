package org.baobabcart.standins.platform;

/** A token bucket rate limit that holds at most one second's worth of calls. Not thread-safe. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double ratePerSecond;
    private double tokens;
    private long filledAtNanos;

    private TokenBucket(double ratePerSecond, long nowNanos) {
        this.ratePerSecond = ratePerSecond;
        this.tokens = ratePerSecond;
        this.filledAtNanos = nowNanos;
    }

    /** A full bucket. */
    static TokenBucket of(double ratePerSecond, long nowNanos) {
        return new TokenBucket(ratePerSecond, nowNanos);
    }

    /** Takes a token; false if there is none. */
    boolean take(long nowNanos) {
        double filled = tokens + (nowNanos - filledAtNanos) / NANOS_PER_SECOND * ratePerSecond;
        tokens = Math.min(ratePerSecond, filled);
        filledAtNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Changes the rate and empties what is above it. */
    void setRate(double newRatePerSecond) {
        ratePerSecond = newRatePerSecond;
        tokens = Math.min(tokens, newRatePerSecond);
    }
}
