/** Hybrid logical clocks, which order events of several nodes. */
package org.baobabcart.policy.clock;
