package org.baobabcart.policy.departure;

/**
 * The share of a pool's requests that a router sends to other data centres. Immutable.
 *
 * @param value the share, from 0 to 1
 * @param updatedNanos when the share was last updated
 */
public record DepartureShare(double value, long updatedNanos) {
    /** Returns the share of a router that keeps all requests. */
    public static DepartureShare none(long nowNanos) {
        return new DepartureShare(0, nowNanos);
    }

    /** Returns whether any request leaves. */
    public boolean isDeparting() {
        return value > 0;
    }
}
