package org.baobabcart.router.upstream;

/**
 * What a response says about the rate limit of its upstream, which holds for the requests of all routers together. Immutable.
 *
 * @param kind whether the response says anything
 * @param perSecond the limit in requests a second; zero unless the upstream is limited
 */
public record RateLimitNotice(Kind kind, double perSecond) {
    private static final RateLimitNotice UNKNOWN = new RateLimitNotice(Kind.UNKNOWN, 0);
    private static final RateLimitNotice UNLIMITED = new RateLimitNotice(Kind.UNLIMITED, 0);

    /** What a response says. */
    public enum Kind {
        /** Nothing, for example because another server has written it. */
        UNKNOWN,
        /** The upstream has no limit. */
        UNLIMITED,
        /** The upstream has a limit. */
        LIMITED
    }

    /** Returns the notice of a response that says nothing about a limit. */
    public static RateLimitNotice unknown() {
        return UNKNOWN;
    }

    /** Returns the notice of an upstream without a limit. */
    public static RateLimitNotice unlimited() {
        return UNLIMITED;
    }

    /** Returns the notice of an upstream with a limit. */
    public static RateLimitNotice limited(double perSecond) {
        return new RateLimitNotice(Kind.LIMITED, perSecond);
    }
}
