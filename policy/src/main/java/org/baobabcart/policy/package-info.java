/**
 * Decisions without input or output: time and randomness come in as arguments, nothing starts a thread or reads a
 * clock.
 */
package org.baobabcart.policy;
