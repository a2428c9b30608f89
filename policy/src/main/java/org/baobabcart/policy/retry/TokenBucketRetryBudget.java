package org.baobabcart.policy.retry;

/**
 * Limits retries to a share of first attempts, so that retries can't amplify an overload. Not thread-safe.
 *
 * <p>Uses a token bucket like the retry budget of Twitter's Finagle: each first attempt adds a fraction of a token, a
 * slow refill allows retries at a low rate, and each retry takes one token.
 */
public final class TokenBucketRetryBudget {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Settings settings;
    private double tokens;
    private long refilledAtNanos;

    /**
     * Configuration of a budget.
     *
     * @param share the number of retries allowed for each first attempt
     * @param perSecond the number of retries allowed per second regardless of first attempts
     * @param burst the maximum number of tokens
     */
    public record Settings(double share, double perSecond, double burst) {
        /** Returns the default settings. */
        public static Settings defaults() {
            return new Settings(0.1, 1, 50);
        }
    }

    private TokenBucketRetryBudget(Settings settings, long nowNanos) {
        this.settings = settings;
        this.tokens = Math.min(settings.burst(), settings.perSecond());
        this.refilledAtNanos = nowNanos;
    }

    /** Creates a budget with the tokens of one second. */
    public static TokenBucketRetryBudget create(Settings settings, long nowNanos) {
        return new TokenBucketRetryBudget(settings, nowNanos);
    }

    /** Records a first attempt. */
    public void recordFirstAttempt(long nowNanos) {
        refill(nowNanos);
        add(settings.share());
    }

    /** Takes a token for a retry; returns false if there is none. */
    public boolean tryRetry(long nowNanos) {
        refill(nowNanos);
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    private void refill(long nowNanos) {
        long elapsed = Math.max(0, nowNanos - refilledAtNanos);
        refilledAtNanos += elapsed;
        add(elapsed / NANOS_PER_SECOND * settings.perSecond());
    }

    private void add(double amount) {
        tokens = Math.min(settings.burst(), tokens + amount);
    }
}
