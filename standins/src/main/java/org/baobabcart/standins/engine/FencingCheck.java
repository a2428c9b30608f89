package org.baobabcart.standins.engine;

/** Accepts or rejects orders by their fencing number, as Kleppmann describes for leases. Not thread-safe. */
final class FencingCheck {
    private final boolean ignoreFencing;
    private long highestAccepted = Long.MIN_VALUE;

    private FencingCheck(boolean ignoreFencing) {
        this.ignoreFencing = ignoreFencing;
    }

    /** Creates a check that has not yet accepted an order. */
    static FencingCheck of(boolean ignoreFencing) {
        return new FencingCheck(ignoreFencing);
    }

    /**
     * Returns whether an order with this fencing number is accepted. Unless fencing is ignored, a number lower than the
     * highest accepted one is rejected.
     */
    boolean accepts(long fencing) {
        if (fencing < highestAccepted && !ignoreFencing) {
            return false;
        }
        highestAccepted = Math.max(highestAccepted, fencing);
        return true;
    }
}
