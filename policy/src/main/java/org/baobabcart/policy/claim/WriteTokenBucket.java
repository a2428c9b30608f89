package org.baobabcart.policy.claim;

/**
 * A token bucket that limits the write rate of one journal, so that the writes of all journals together stay within a
 * share of the platform's capacity, regardless of the number of routers. Operations that arrive during a delay are
 * written together. Immutable.
 *
 * @param tokens the number of writes allowed immediately, with fractions
 * @param atNanos the owner's monotonic time at which the tokens were counted
 */
record WriteTokenBucket(double tokens, long atNanos) {
    private static final double CAPACITY = 4;
    private static final double WRITES_PER_SECOND = 2;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Returns a full bucket. */
    static WriteTokenBucket full(long nowNanos) {
        return new WriteTokenBucket(CAPACITY, nowNanos);
    }

    /** Returns the bucket refilled up to the given time. */
    WriteTokenBucket refilled(long nowNanos) {
        double refill = (nowNanos - atNanos) / NANOS_PER_SECOND * WRITES_PER_SECOND;
        return new WriteTokenBucket(Math.min(CAPACITY, tokens + Math.max(0, refill)), nowNanos);
    }

    /** Returns the bucket after a write. */
    WriteTokenBucket withTokenTaken() {
        return new WriteTokenBucket(tokens - 1, atNanos);
    }

    /** Returns the delay until the next write in nanoseconds, or 0 if it is allowed immediately. */
    long delayNanos() {
        return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / WRITES_PER_SECOND * NANOS_PER_SECOND);
    }
}
