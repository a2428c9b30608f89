/** Hybrid logical clocks, by which events of several nodes are put in one order. */
package org.baobabcart.policy.clock;
