package org.baobabcart.policy.claim;

/**
 * A token bucket that bounds the writes of one journal, so that all journals together stay within a share of what the
 * platform takes, however many routers there are. What arrives while a write has to wait is written with it. Immutable.
 *
 * @param tokens writes that may be made at once, fractions included
 * @param atNanos the owner's monotonic time at which the tokens were counted
 */
record WriteTokenBucket(double tokens, long atNanos) {
    private static final double CAPACITY = 4;
    private static final double WRITES_PER_SECOND = 2;
    private static final double NANOS_PER_SECOND = 1e9;

    /** A full bucket. */
    static WriteTokenBucket full(long nowNanos) {
        return new WriteTokenBucket(CAPACITY, nowNanos);
    }

    /** The bucket at a later time. */
    WriteTokenBucket refilled(long nowNanos) {
        double refill = (nowNanos - atNanos) / NANOS_PER_SECOND * WRITES_PER_SECOND;
        return new WriteTokenBucket(Math.min(CAPACITY, tokens + Math.max(0, refill)), nowNanos);
    }

    /** The bucket after a write. */
    WriteTokenBucket withTokenTaken() {
        return new WriteTokenBucket(tokens - 1, atNanos);
    }

    /** How long the next write has to wait, in nanoseconds; zero if it may be made at once. */
    long delayNanos() {
        return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / WRITES_PER_SECOND * NANOS_PER_SECOND);
    }
}
