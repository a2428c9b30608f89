/** Cascades on the traffic path; the decisions are those of {@code org.baobabcart.policy.cascade}. */
package org.baobabcart.router.cascade;
