/**
 * Replication and commit of bills: which router holds a copy, what is committed when, and how committed segments are
 * merged.
 */
package org.baobabcart.policy.bill;
