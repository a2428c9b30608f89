package org.baobabcart.policy.lease;

/**
 * A lease as its holder counts it on its own monotonic clock. Immutable.
 *
 * <p>The time counts from before the write was sent. A holder that was paused finds out by asking {@link #mayAct} with
 * a time that it has read just before it acts.
 *
 * @param fencing the number to be sent with each order
 * @param takenAtNanos when this holder took the lease, before the write was sent
 * @param renewedAtNanos when the last accepted write was sent
 * @param terms how long the lease lasts
 */
public record HeldLease(long fencing, long takenAtNanos, long renewedAtNanos, LeaseTerms terms) {
    /** A lease whose taking was accepted. */
    public static HeldLease taken(long fencing, long sentAtNanos, LeaseTerms terms) {
        return new HeldLease(fencing, sentAtNanos, sentAtNanos, terms);
    }

    /** The lease after a renewal was accepted. */
    public HeldLease renewed(long sentAtNanos) {
        return new HeldLease(fencing, takenAtNanos, Math.max(renewedAtNanos, sentAtNanos), terms);
    }

    /** Whether the holder may send an order that is checked for its fencing number. */
    public boolean mayAct(long nowNanos) {
        return nowNanos - renewedAtNanos < terms.holderNanos();
    }

    /** Whether the holder may send an order to somebody who ignores fencing numbers. */
    public boolean mayActUnfenced(long nowNanos) {
        return mayAct(nowNanos)
                && nowNanos - takenAtNanos >= terms.orderFlight().toNanos();
    }

    /** Whether the lease is to be renewed. */
    public boolean renewalDue(long nowNanos) {
        return nowNanos - renewedAtNanos >= terms.renewalNanos();
    }
}
