/**
 * Membership of routers: how statements about members are merged, who is suspected and who has which duty.
 *
 * <p>The method is that of Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
 * Membership Protocol" (2002).
 */
package org.baobabcart.policy.member;
