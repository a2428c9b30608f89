/**
 * Decides where a cascade starts and when it goes on to the next step, by what rated answers have shown for the kind of
 * work. Pure: randomness comes in as an argument.
 */
package org.baobabcart.policy.cascade;
