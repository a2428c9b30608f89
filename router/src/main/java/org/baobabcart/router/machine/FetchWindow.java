package org.baobabcart.router.machine;

/**
 * Window of statements that a router requests from a peer, ending at its own clock. It is widened each time that the
 * requested statements did not make the two tables equal, until it covers all statements. Immutable.
 *
 * @param width the width in clock steps
 */
record FetchWindow(long width) {
    private static final long INITIAL_WIDTH = 8;
    private static final long GROWTH_FACTOR = 16;
    private static final long MAX_WIDTH = Long.MAX_VALUE / GROWTH_FACTOR;

    static FetchWindow initial() {
        return new FetchWindow(INITIAL_WIDTH);
    }

    FetchWindow widened() {
        return new FetchWindow(Math.min(MAX_WIDTH, width * GROWTH_FACTOR));
    }

    /** Returns the clock above which statements are requested; zero requests all. */
    long lowerBound(long clock) {
        return Math.max(0, clock - width);
    }
}
