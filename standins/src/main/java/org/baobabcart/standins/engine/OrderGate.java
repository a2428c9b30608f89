package org.baobabcart.standins.engine;

/** Obeys orders by their fencing number, as Kleppmann describes for leases. Not thread-safe. */
final class OrderGate {
    private final boolean ignoreFencing;
    private long highest = Long.MIN_VALUE;

    private OrderGate(boolean ignoreFencing) {
        this.ignoreFencing = ignoreFencing;
    }

    /** A gate that has seen no order. */
    static OrderGate of(boolean ignoreFencing) {
        return new OrderGate(ignoreFencing);
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
