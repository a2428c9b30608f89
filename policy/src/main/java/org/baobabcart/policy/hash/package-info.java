/** Hashing by which nodes agree on a choice without talking. */
package org.baobabcart.policy.hash;
