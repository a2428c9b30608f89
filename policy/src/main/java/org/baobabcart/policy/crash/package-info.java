/**
 * Attributes upstream crashes to requests and to parts of their prompts.
 *
 * <p>All classes are immutable and use no clock: times are nanoseconds of the steady clock of the router that evaluates them, taken
 * when a report arrived there.
 */
package org.baobabcart.policy.crash;
