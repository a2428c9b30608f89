/** Counts of crashes blamed on requests. */
package org.baobabcart.policy.crash;
