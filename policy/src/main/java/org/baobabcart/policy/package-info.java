/**
 * Policies without input or output: time and random numbers are passed as arguments, and no code starts a thread or
 * reads a clock.
 */
package org.baobabcart.policy;
