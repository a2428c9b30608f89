/** Evidence, stages and stops of roll-outs; the decisions are those of {@code org.baobabcart.policy.rollout}. */
package org.baobabcart.router.rollout;
