/**
 * Controls roll-outs: exchanges evidence between routers, advances stages and stops bad versions. The decisions are
 * made by {@code org.baobabcart.policy.rollout}.
 */
package org.baobabcart.router.rollout;
