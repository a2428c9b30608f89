package org.baobabcart.router.order;

/**
 * A lease held by this router, as published to other controllers. Immutable.
 *
 * @param fencing the number to send with each order
 * @param inheritedJournal the journal of the previous holder
 */
public record OrderLease(long fencing, OrderJournal inheritedJournal) {}
