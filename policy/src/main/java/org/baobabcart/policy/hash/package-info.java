/** Hashing by which nodes make the same choice without communication. */
package org.baobabcart.policy.hash;
