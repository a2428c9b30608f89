package org.baobabcart.standins.platform;

/** Rate limiter with a token bucket that holds at most one second's worth of calls. Not thread-safe. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double ratePerSecond;
    private double tokens;
    private long refilledAtNanos;

    private TokenBucket(double ratePerSecond, long nowNanos) {
        this.ratePerSecond = ratePerSecond;
        this.tokens = ratePerSecond;
        this.refilledAtNanos = nowNanos;
    }

    /** Creates a full bucket. */
    static TokenBucket of(double ratePerSecond, long nowNanos) {
        return new TokenBucket(ratePerSecond, nowNanos);
    }

    /** Takes one token. Returns false if none is available. */
    boolean tryAcquire(long nowNanos) {
        double refilled = tokens + (nowNanos - refilledAtNanos) / NANOS_PER_SECOND * ratePerSecond;
        tokens = Math.min(ratePerSecond, refilled);
        refilledAtNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Sets the rate and discards tokens above the new capacity. */
    void setRate(double newRatePerSecond) {
        ratePerSecond = newRatePerSecond;
        tokens = Math.min(tokens, newRatePerSecond);
    }
}
