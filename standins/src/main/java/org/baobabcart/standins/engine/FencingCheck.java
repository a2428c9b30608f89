package org.baobabcart.standins.engine;

/** Obeys orders by their fencing number, as Kleppmann describes for leases. Not thread-safe. */
final class FencingCheck {
    private final boolean ignoreFencing;
    private long highest = Long.MIN_VALUE;

    private FencingCheck(boolean ignoreFencing) {
        this.ignoreFencing = ignoreFencing;
    }

    /** A gate that has seen no order. */
    static FencingCheck of(boolean ignoreFencing) {
        return new FencingCheck(ignoreFencing);
    }

    /** Whether an order with this fencing number is obeyed. */
    boolean admits(long fencing) {
        if (fencing < highest && !ignoreFencing) {
            return false;
        }
        highest = Math.max(highest, fencing);
        return true;
    }
}
