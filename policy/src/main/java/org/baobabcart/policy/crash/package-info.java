/** Counts upstream crashes by the request that caused them. */
package org.baobabcart.policy.crash;
