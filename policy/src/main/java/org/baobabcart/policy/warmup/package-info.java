/** Decides how many requests routers may send to upstreams that have just started. */
package org.baobabcart.policy.warmup;
