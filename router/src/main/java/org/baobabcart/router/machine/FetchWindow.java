package org.baobabcart.router.machine;

/**
 * How far below its own clock a router asks a peer for statements: wider each time that the narrower request did not make
 * the two equal, and in the end for all. Immutable.
 *
 * @param width the width in steps of the clock
 */
record FetchWindow(long width) {
    private static final long NARROWEST = 8;
    private static final long GROWTH = 16;
    private static final long WIDEST = Long.MAX_VALUE / GROWTH;

    static FetchWindow narrowest() {
        return new FetchWindow(NARROWEST);
    }

    FetchWindow wider() {
        return new FetchWindow(Math.min(WIDEST, width * GROWTH));
    }

    /** The clock above which statements are asked for, or zero for all. */
    long floor(long clock) {
        return Math.max(0, clock - width);
    }
}
