package org.baobabcart.policy.lease;

/**
 * A lease from the point of view of its holder, measured on the holder's monotonic clock. Immutable.
 *
 * <p>The duration counts from before the write was sent. A holder that was paused notices an expired lease by calling
 * {@link #mayAct} with a time read just before it acts.
 *
 * @param fencing the fencing number to send with each order
 * @param acquiredAtNanos the time just before the write that acquired the lease was sent
 * @param renewedAtNanos the time just before the last accepted write was sent
 * @param terms the duration and margins of the lease
 */
public record HeldLease(long fencing, long acquiredAtNanos, long renewedAtNanos, LeaseTerms terms) {
    /** Returns a lease whose acquisition was accepted. */
    public static HeldLease acquired(long fencing, long sentAtNanos, LeaseTerms terms) {
        return new HeldLease(fencing, sentAtNanos, sentAtNanos, terms);
    }

    /** Returns this lease after a renewal was accepted. */
    public HeldLease renewed(long sentAtNanos) {
        return new HeldLease(fencing, acquiredAtNanos, Math.max(renewedAtNanos, sentAtNanos), terms);
    }

    /** Returns whether the holder may send an order to a receiver that checks the fencing number. */
    public boolean mayAct(long nowNanos) {
        return nowNanos - renewedAtNanos < terms.holderNanos();
    }

    /**
     * Returns whether the holder may send an order to a receiver that ignores fencing numbers. Orders of an earlier
     * holder have arrived by then.
     */
    public boolean mayActUnfenced(long nowNanos) {
        return mayAct(nowNanos)
                && nowNanos - acquiredAtNanos >= terms.maximumOrderDelay().toNanos();
    }

    /** Returns whether the lease should be renewed now. */
    public boolean isRenewalDue(long nowNanos) {
        return nowNanos - renewedAtNanos >= terms.renewalNanos();
    }
}
