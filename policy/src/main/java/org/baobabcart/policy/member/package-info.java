/**
 * Membership of routers: merging statements about members, suspicion and gossip.
 *
 * <p>The method is that of Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
 * Membership Protocol" (2002).
 */
package org.baobabcart.policy.member;
