/** Cascades on the traffic path; the decisions are made by {@code org.baobabcart.policy.cascade}. */
package org.baobabcart.router.cascade;
