package org.baobabcart.router.order;

/**
 * A lease that this router holds, as other controllers see it. Immutable.
 *
 * @param fencing the number to be sent with each order
 * @param inherited the journal of the holder before
 */
public record OrderLease(long fencing, OrderJournal inherited) {}
