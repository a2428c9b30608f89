/**
 * Decides when a roll-out stops, advances or rests, by evidence pooled over routers and tested sequentially. Pure: time
 * comes in as an argument.
 */
package org.baobabcart.policy.rollout;
