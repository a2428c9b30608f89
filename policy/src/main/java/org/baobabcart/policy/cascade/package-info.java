/**
 * Decides at which step a cascade starts and when it escalates to the next one, from the ratings of earlier answers for
 * the same request class. Pure functions: random numbers are passed as arguments.
 */
package org.baobabcart.policy.cascade;
