/**
 * Leases stored in the platform: at most one holder at a time, measured on monotonic clocks only, with a fencing
 * number for receivers that check it.
 *
 * <p>The method is that of Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File
 * Cache Consistency" (1989).
 */
package org.baobabcart.policy.lease;
