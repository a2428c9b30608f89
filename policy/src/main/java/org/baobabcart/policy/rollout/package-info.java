/**
 * Decides when a roll-out stops, holds, advances or is paused, by sequential tests on evidence pooled over routers. Free
 * of side effects: the time is passed as an argument.
 */
package org.baobabcart.policy.rollout;
