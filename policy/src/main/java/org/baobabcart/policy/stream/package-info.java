/** Decides which events of a stream are relayed when it continues at another upstream. */
package org.baobabcart.policy.stream;
