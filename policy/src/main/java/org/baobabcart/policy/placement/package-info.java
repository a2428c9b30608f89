/**
 * Which engine is to load which version next: a reconciliation of the wanted placements with what the engines of a data
 * centre serve, at a bounded rate and with exponential back-off.
 */
package org.baobabcart.policy.placement;
