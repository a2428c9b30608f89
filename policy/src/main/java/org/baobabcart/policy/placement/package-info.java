/**
 * Decides which engine loads which version next, by reconciling the desired placements with the versions that the
 * engines of a data centre serve, at a bounded rate and with exponential back-off.
 */
package org.baobabcart.policy.placement;
