package org.baobabcart.policy.retry;

/**
 * Limits retries to a share of first tries, so that retries cannot multiply an overload.
 *
 * <p>A token bucket: each first try adds a fraction of a token, a slow refill keeps retries possible at a low rate, and
 * each retry takes one token. The scheme is the retry budget of Twitter's Finagle. Not thread-safe.
 */
public final class TokenBucketRetryBudget {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Settings settings;
    private double tokens;
    private long refilledAt;

    /**
     * Configuration of a budget.
     *
     * @param share retries allowed for each first try
     * @param perSecond retries allowed each second whatever the number of first tries
     * @param burst the most retries that can be saved up
     */
    public record Settings(double share, double perSecond, double burst) {
        /** Settings for ordinary use. */
        public static Settings defaults() {
            return new Settings(0.1, 1, 50);
        }
    }

    private TokenBucketRetryBudget(Settings settings, long nowNanos) {
        this.settings = settings;
        this.tokens = Math.min(settings.burst(), settings.perSecond());
        this.refilledAt = nowNanos;
    }

    /** A budget with the tokens of one second. */
    public static TokenBucketRetryBudget create(Settings settings, long nowNanos) {
        return new TokenBucketRetryBudget(settings, nowNanos);
    }

    /** Counts a first try. */
    public void firstTry(long nowNanos) {
        refill(nowNanos);
        add(settings.share());
    }

    /** Takes a token for a retry; false where there is none. */
    public boolean tryRetry(long nowNanos) {
        refill(nowNanos);
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    private void refill(long nowNanos) {
        long elapsed = Math.max(0, nowNanos - refilledAt);
        refilledAt += elapsed;
        add(elapsed / NANOS_PER_SECOND * settings.perSecond());
    }

    private void add(double amount) {
        tokens = Math.min(settings.burst(), tokens + amount);
    }
}
